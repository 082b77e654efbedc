package org.aspenmoor.internal.bench.policy.run;

import java.util.List;

/**
 * Measurements of one run.
 *
 * @param policy name of the policy
 * @param weightedGoodput sum of the weights of the requests answered in time
 * @param offeredWeight sum of the weights of all requests
 * @param requests number of requests that arrived
 * @param completed number of requests answered in time
 * @param refused number of requests refused without having run
 * @param late number of requests answered after their deadline
 * @param roleChanges number of role changes ordered
 * @param engineSecondsAway total time that engines were away for role changes, including draining
 * @param firstTokenP95Seconds 95th percentile of the time to the first token
 * @param heaviestInTimeFraction fraction of the requests of the kind with the highest weight that were answered in time
 * @param slowestRefusalFraction longest wait for a refusal, as a fraction of the deadline of the request
 * @param teamResults results by team
 * @param timeline time series of the run
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

    /** Returns a copy with another policy name. */
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

    /** Returns the weighted goodput less the price of all role changes. */
    public double goodputLessRoleChanges(double roleChangePrice) {
        return weightedGoodput - roleChangePrice * roleChanges;
    }
}
