/** One replayed day: callers, entries with their scheduling decisions, and engines on one manual clock. */
package org.aspenmoor.internal.bench.replay.run;
