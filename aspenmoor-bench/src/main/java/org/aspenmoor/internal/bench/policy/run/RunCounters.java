package org.aspenmoor.internal.bench.policy.run;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import org.aspenmoor.internal.bench.policy.fleet.Fleet;
import org.aspenmoor.internal.bench.policy.fleet.TraceKind;

/** Counts the results of the requests of one run. */
final class RunCounters {
    private static final double MICROSECONDS_PER_SECOND = 1e6;
    private static final double FIRST_TOKEN_PERCENTILE = 95;

    private final String heaviestKind;
    private final Histogram firstTokenMicroseconds = new Histogram(3);
    private final Map<String, int[]> teamCounts = new TreeMap<>();
    private double weightedGoodput;
    private double offeredWeight;
    private int requests;
    private int completed;
    private int refused;
    private int late;
    private int roleChanges;
    private int heaviestArrived;
    private int heaviestInTime;
    private double slowestRefusalFraction;

    RunCounters(Fleet fleet) {
        TraceKind heaviest = fleet.kinds().getFirst();
        for (TraceKind kind : fleet.kinds()) {
            heaviest = kind.declaration().weight() > heaviest.declaration().weight() ? kind : heaviest;
        }
        this.heaviestKind = heaviest.declaration().name();
    }

    void arrived(SimulatedRequest request) {
        requests++;
        offeredWeight += request.weight();
        heaviestArrived += request.kind().equals(heaviestKind) ? 1 : 0;
        teamCounts.computeIfAbsent(request.team(), team -> new int[2])[0]++;
    }

    void finished(SimulatedRequest request, double nowSeconds) {
        firstTokenMicroseconds.recordValue(
                (long) (MICROSECONDS_PER_SECOND * (request.firstTokenSeconds() - request.arrivalSeconds())));
        if (nowSeconds > request.deadlineSeconds()) {
            late++;
            return;
        }
        completed++;
        weightedGoodput += request.weight();
        heaviestInTime += request.kind().equals(heaviestKind) ? 1 : 0;
        teamCounts.get(request.team())[1]++;
    }

    void refused(SimulatedRequest request, double nowSeconds) {
        refused++;
        double allowedSeconds = request.deadlineSeconds() - request.arrivalSeconds();
        slowestRefusalFraction =
                Math.max(slowestRefusalFraction, (nowSeconds - request.arrivalSeconds()) / allowedSeconds);
    }

    void roleChanged() {
        roleChanges++;
    }

    double weightedGoodput() {
        return weightedGoodput;
    }

    int openRequests() {
        return requests - completed - refused - late;
    }

    RunResult result(String policy, double engineSecondsAway, List<TimelinePoint> timeline) {
        if (openRequests() != 0) {
            throw new IllegalStateException("requests without a result: of " + requests + " requests, " + completed
                    + " were completed, " + refused + " refused and " + late + " late");
        }
        List<TeamResult> teamResults = new ArrayList<>();
        teamCounts.forEach((team, counts) -> teamResults.add(new TeamResult(team, (double) counts[1] / counts[0])));
        return new RunResult(
                policy,
                weightedGoodput,
                offeredWeight,
                requests,
                completed,
                refused,
                late,
                roleChanges,
                engineSecondsAway,
                firstTokenMicroseconds.getValueAtPercentile(FIRST_TOKEN_PERCENTILE) / MICROSECONDS_PER_SECOND,
                heaviestArrived == 0 ? 1 : (double) heaviestInTime / heaviestArrived,
                slowestRefusalFraction,
                teamResults,
                timeline);
    }
}
