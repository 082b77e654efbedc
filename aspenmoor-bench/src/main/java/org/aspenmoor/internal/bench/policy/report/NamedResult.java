package org.aspenmoor.internal.bench.policy.report;

import org.aspenmoor.internal.bench.policy.run.RunResult;

/**
 * A result and what it was measured on.
 *
 * @param house the fleet
 * @param trace the trace
 * @param seed the seed
 * @param result the result
 */
public record NamedResult(String house, String trace, long seed, RunResult result) {}
