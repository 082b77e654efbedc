package org.aspenmoor.internal.bench.policy.run;

/**
 * Result of one team.
 *
 * @param team name of the team
 * @param inTimeFraction fraction of its requests answered in time
 */
public record TeamResult(String team, double inTimeFraction) {}
