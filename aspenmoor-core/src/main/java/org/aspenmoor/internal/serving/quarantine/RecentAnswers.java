package org.aspenmoor.internal.serving.quarantine;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;

/** Requests, or parts of prompts, that were answered recently. Confined to one thread. */
final class RecentAnswers {
    /**
     * A request that was answered within this time is not fatal: it does not terminate every server that processes it.
     */
    static final Duration RETENTION = Duration.ofMinutes(1);

    /** More than an entry answers within {@link #RETENTION}; a few hundred kilobytes. */
    static final int MAX_ANSWERS = 4096;

    private final Map<SuspectDigest, Long> answeredAtNanos = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<SuspectDigest, Long> eldest) {
            return size() > MAX_ANSWERS;
        }
    };

    void add(SuspectDigest suspect, long nowNanos) {
        answeredAtNanos.remove(suspect);
        answeredAtNanos.put(suspect, nowNanos);
    }

    boolean contains(SuspectDigest suspect, long nowNanos) {
        Long lastAnsweredAt = answeredAtNanos.get(suspect);
        return lastAnsweredAt != null && nowNanos - lastAnsweredAt <= RETENTION.toNanos();
    }
}
