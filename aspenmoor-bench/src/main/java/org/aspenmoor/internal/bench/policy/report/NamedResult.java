package org.aspenmoor.internal.bench.policy.report;

import org.aspenmoor.internal.bench.policy.run.RunResult;

/**
 * A result and what it was measured on.
 *
 * @param fleet the fleet
 * @param trace the trace
 * @param seed the seed
 * @param result the result
 */
public record NamedResult(String fleet, String trace, long seed, RunResult result) {}
