/** One replayed day: callers, entries with their decisions, engines, all on one manual clock. */
package org.aspenmoor.internal.bench.replay.run;
