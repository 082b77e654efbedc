package org.aspenmoor.internal.bench.policy.run;

import java.util.List;

/**
 * What one run measured.
 *
 * @param policy the policy
 * @param weightedGoodput the weights of requests answered in time, summed
 * @param offeredWeight the weights of all requests, summed
 * @param requests how many requests arrived
 * @param completed how many were answered in time
 * @param refused how many were refused without having run
 * @param late how many were answered too late
 * @param roleChanges how many role changes were ordered
 * @param engineSecondsAway how long engines were away for role changes, draining included
 * @param firstTokenP95Seconds the first token's latency that 95 in 100 answers stay within
 * @param heaviestInTimeFraction the share of the heaviest kind's requests answered in time
 * @param slowestRefusalFraction the greatest share of its deadline that a refused request waited for its refusal
 * @param teamResults the share of each team's requests answered in time
 * @param timeline what happened over time
 */
public record RunResult(
        String policy,
        double weightedGoodput,
        double offeredWeight,
        int requests,
        int completed,
        int refused,
        int late,
        int roleChanges,
        double engineSecondsAway,
        double firstTokenP95Seconds,
        double heaviestInTimeFraction,
        double slowestRefusalFraction,
        List<TeamResult> teamResults,
        List<TimelinePoint> timeline) {
    public RunResult {
        teamResults = List.copyOf(teamResults);
        timeline = List.copyOf(timeline);
    }

    /** Returns the result under another name. */
    public RunResult withPolicyName(String name) {
        return new RunResult(
                name,
                weightedGoodput,
                offeredWeight,
                requests,
                completed,
                refused,
                late,
                roleChanges,
                engineSecondsAway,
                firstTokenP95Seconds,
                heaviestInTimeFraction,
                slowestRefusalFraction,
                teamResults,
                timeline);
    }

    /** Returns the goodput less what the team's price says the changes cost. */
    public double goodputLessRoleChanges(double roleChangePrice) {
        return weightedGoodput - roleChangePrice * roleChanges;
    }
}
