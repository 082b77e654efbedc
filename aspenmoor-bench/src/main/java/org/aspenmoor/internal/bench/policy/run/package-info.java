/** One run of a trace on a fleet under a strategy. */
package org.aspenmoor.internal.bench.policy.run;
