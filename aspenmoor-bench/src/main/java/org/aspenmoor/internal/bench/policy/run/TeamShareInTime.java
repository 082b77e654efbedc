package org.aspenmoor.internal.bench.policy.run;

/**
 * How one team fared.
 *
 * @param team the team
 * @param inTimeShare the share of its requests answered in time
 */
public record TeamShareInTime(String team, double inTimeShare) {}
