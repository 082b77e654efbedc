package org.aspenmoor.internal.planning;

import java.util.HashMap;
import java.util.Map;

/** What arrived during one second, by kind. */
final class CountBucket {
    private final long number;
    private final Map<String, KindTotals> kinds = new HashMap<>();

    CountBucket(long number) {
        this.number = number;
    }

    long number() {
        return number;
    }

    void add(WorkCounts counts) {
        for (KindCount count : counts.kinds()) {
            kinds.merge(
                    count.kind(),
                    new KindTotals(count.requests(), count.promptTokens(), count.outputTokens()),
                    KindTotals::plus);
        }
    }

    KindTotals of(String kind) {
        return kinds.getOrDefault(kind, KindTotals.NONE);
    }
}
