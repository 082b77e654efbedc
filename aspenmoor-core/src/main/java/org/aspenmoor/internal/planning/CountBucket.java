package org.aspenmoor.internal.planning;

import java.util.HashMap;
import java.util.Map;

/** The requests that arrived during one second, by kind. */
final class CountBucket {
    private final long second;
    private final Map<String, KindTotals> totalsByKind = new HashMap<>();

    CountBucket(long number) {
        this.second = number;
    }

    /** Returns the second on the monotonic clock that the bucket covers. */
    long second() {
        return second;
    }

    void add(WorkCounts counts) {
        for (KindCount count : counts.kinds()) {
            totalsByKind.merge(
                    count.kind(),
                    new KindTotals(count.requests(), count.promptTokens(), count.outputTokens()),
                    KindTotals::plus);
        }
    }

    KindTotals totals(String kind) {
        return totalsByKind.getOrDefault(kind, KindTotals.NONE);
    }
}
