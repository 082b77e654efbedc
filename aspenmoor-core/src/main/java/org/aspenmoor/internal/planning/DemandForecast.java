package org.aspenmoor.internal.planning;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/** Derives the present demand, its duration and its history from the counts of the entries. */
final class DemandForecast {
    private static final long BUCKET_NANOSECONDS = 1_000_000_000L;

    private static final double MIN_MEAN_SECONDS = 30;
    private static final double MIN_GAIN_FRACTION = 0.05;
    private static final double MIN_GAIN_FRACTION_FOR_MEAN = 0.1;

    private final GoodputModel model;
    private final CountWindow window = new CountWindow();
    private final MixHistory history = new MixHistory();

    DemandForecast(GoodputModel model) {
        this.model = model;
    }

    boolean observe(WorkCounts counts) {
        return window.add(counts);
    }

    long completeUntil(long now, long forgetAfterNanoseconds) {
        return window.completeUntil(now, forgetAfterNanoseconds);
    }

    /**
     * Returns the forecast; empty if no requests were counted.
     *
     * <p>If mixes typically end before a role change pays off, their mean is used, because queues average them out
     * for the engines. A mean over a short time is biased, so its remaining time is taken as 0.
     */
    Optional<WorkloadForecast> expectedWorkload(
            List<KindObjective> kinds,
            long completeUntilNanoseconds,
            double minPaybackSeconds,
            SplitSearch.Finder search) {
        List<CountBucket> buckets = completeBuckets(completeUntilNanoseconds);
        if (buckets.isEmpty()) {
            return Optional.empty();
        }
        int length = ChangePointDetector.currentMixLength(
                buckets.stream().map(bucket -> requests(bucket, kinds)).toList());
        MixPeriod currentPeriod = mixPeriod(buckets.subList(0, length), kinds, search);
        if (currentPeriod.demands().isEmpty()) {
            return Optional.empty();
        }
        history.observe(currentPeriod);
        if (history.isTypicallyShorterThan(minPaybackSeconds)) {
            MixPeriod meanPeriod = mixPeriod(buckets, kinds, search);
            double remainingSeconds = meanPeriod.seconds() < MIN_MEAN_SECONDS ? 0 : meanPeriod.seconds();
            return Optional.of(
                    new WorkloadForecast(meanPeriod, remainingSeconds, 0, MIN_GAIN_FRACTION_FOR_MEAN, List.of()));
        }
        return Optional.of(new WorkloadForecast(
                history.currentPeriod(),
                history.remainingSeconds(),
                history.observedSeconds(),
                MIN_GAIN_FRACTION,
                history.pastPeriods()));
    }

    private List<CountBucket> completeBuckets(long completeUntilNanoseconds) {
        long lastComplete = Math.floorDiv(completeUntilNanoseconds, BUCKET_NANOSECONDS) - 1;
        List<CountBucket> buckets = new ArrayList<>();
        for (CountBucket bucket : window.newestFirst()) {
            if (bucket.second() <= lastComplete) {
                buckets.add(bucket);
            }
        }
        return buckets;
    }

    private MixPeriod mixPeriod(List<CountBucket> buckets, List<KindObjective> kinds, SplitSearch.Finder search) {
        List<KindDemand> demands = demands(buckets, kinds);
        RoleSplit bestSplit = search.best(split -> model.goodputPerSecond(split, demands));
        return new MixPeriod(buckets.getLast().second(), buckets.size(), buckets.size(), demands, bestSplit);
    }

    private static double[] requests(CountBucket bucket, List<KindObjective> kinds) {
        return kinds.stream()
                .mapToDouble(kind -> bucket.totals(kind.kind()).requests())
                .toArray();
    }

    private List<KindDemand> demands(List<CountBucket> buckets, List<KindObjective> kinds) {
        List<KindDemand> demands = new ArrayList<>();
        for (KindObjective kind : kinds) {
            KindTotals totals = KindTotals.NONE;
            for (CountBucket bucket : buckets) {
                totals = totals.plus(bucket.totals(kind.kind()));
            }
            if (totals.requests() > 0) {
                demands.add(model.demand(
                        kind,
                        totals.requests() / buckets.size(),
                        totals.promptTokens() / totals.requests(),
                        totals.outputTokens() / totals.requests()));
            }
        }
        demands.sort(Comparator.comparingDouble(KindDemand::weight).reversed());
        return demands;
    }
}
