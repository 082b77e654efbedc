package org.aspenmoor.internal.serving.quarantine;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;

/** Requests that were answered recently. Confined to one thread. */
final class RecentAnswers {
    /** A request that was answered within this time does not terminate every server that processes it. */
    static final Duration TIME = Duration.ofMinutes(1);

    /** More than an entry answers within {@link #TIME}; a few hundred kilobytes. */
    static final int MOST_KEPT = 4096;

    private final Map<RequestDigest, Long> answeredAt = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<RequestDigest, Long> eldest) {
            return size() > MOST_KEPT;
        }
    };

    void add(RequestDigest request, long now) {
        answeredAt.remove(request);
        answeredAt.put(request, now);
    }

    boolean contains(RequestDigest request, long now) {
        Long at = answeredAt.get(request);
        return at != null && now - at <= TIME.toNanos();
    }
}
