package org.aspenmoor.internal.planning;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Turns the counts into the present demand, its age and its history. */
final class DemandForecast {
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

    /** Brings the history up to date and returns it; the present demand is empty where nothing was counted. */
    MixHistory update(List<KindWeight> kinds, long completeUntilNanoseconds) {
        if (window.isEmpty()) {
            return history;
        }
        long lastComplete = Math.floorDiv(completeUntilNanoseconds, 1_000_000_000L) - 1;
        List<CountBucket> buckets = new ArrayList<>();
        for (CountBucket bucket : window.newestFirst()) {
            if (bucket.number() <= lastComplete) {
                buckets.add(bucket);
            }
        }
        if (buckets.isEmpty()) {
            return history;
        }
        int length = ChangePointDetector.presentLength(
                buckets.stream().map(bucket -> requests(bucket, kinds)).toList());
        long first = buckets.get(length - 1).number();
        history.observe(new Segment(first, length, demands(buckets.subList(0, length), kinds)));
        return history;
    }

    private static double[] requests(CountBucket bucket, List<KindWeight> kinds) {
        return kinds.stream()
                .mapToDouble(kind -> bucket.of(kind.kind()).requests())
                .toArray();
    }

    private List<KindDemand> demands(List<CountBucket> buckets, List<KindWeight> kinds) {
        List<KindDemand> demands = new ArrayList<>();
        for (KindWeight kind : kinds) {
            KindTotals totals = KindTotals.NONE;
            for (CountBucket bucket : buckets) {
                totals = totals.plus(bucket.of(kind.kind()));
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
