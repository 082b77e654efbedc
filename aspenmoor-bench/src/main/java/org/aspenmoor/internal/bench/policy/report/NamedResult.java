package org.aspenmoor.internal.bench.policy.report;

import org.aspenmoor.internal.bench.policy.run.RunResult;

/**
 * A result with the fleet, trace and seed of its run.
 *
 * @param fleet name of the fleet
 * @param trace name of the trace
 * @param seed random seed of the run
 * @param result result of the run
 */
public record NamedResult(String fleet, String trace, long seed, RunResult result) {}
