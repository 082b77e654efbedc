package org.aspenmoor.internal.bench.policy.run;

/**
 * How one team fared.
 *
 * @param team the team
 * @param inTimeFraction the share of its requests answered in time
 */
public record TeamResult(String team, double inTimeFraction) {}
