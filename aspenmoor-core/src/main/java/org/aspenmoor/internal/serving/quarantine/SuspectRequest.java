package org.aspenmoor.internal.serving.quarantine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The server terminations of one request. Confined to one thread. */
final class SuspectRequest {
    /** Far more than a decision needs; the oldest are evicted first. */
    private static final int MOST_KEPT = 12;

    private final RequestDigest digest;
    private final Map<ServerStart, KnownEnd> ends = new LinkedHashMap<>();

    SuspectRequest(RequestDigest digest) {
        this.digest = digest;
    }

    /**
     * Adds a termination; returns whether this is new information. A cleared termination stays cleared, whatever is
     * reported later. Of two times the earlier is kept, so that a termination does not become more recent as it
     * passes from entry to entry.
     */
    boolean add(ServerStart server, long at, boolean excused) {
        KnownEnd known = ends.get(server);
        if (known == null) {
            ends.put(server, new KnownEnd(at, excused));
            dropOldest();
            return true;
        }
        ends.put(server, new KnownEnd(Math.min(known.at(), at), known.excused() || excused));
        return excused && !known.excused();
    }

    /** Records that the request was answered; returns whether this clears a termination. */
    boolean answered() {
        boolean news = count() > 0;
        ends.replaceAll((server, end) -> new KnownEnd(end.at(), true));
        return news;
    }

    /** Returns the number of known terminations, cleared or not. */
    int known() {
        return ends.size();
    }

    /** Returns the number of terminations that count against the request. */
    int count() {
        return (int) ends.values().stream().filter(end -> !end.excused()).count();
    }

    /** Returns the time of the latest termination that counts against the request, in nanoseconds. */
    long lastAt() {
        return ends.values().stream()
                .filter(end -> !end.excused())
                .mapToLong(KnownEnd::at)
                .max()
                .orElse(Long.MIN_VALUE);
    }

    /** Returns the time of the latest termination, cleared or not, in nanoseconds. */
    long newestAt() {
        return ends.values().stream().mapToLong(KnownEnd::at).max().orElse(Long.MIN_VALUE);
    }

    List<ServerEnd> told(long now) {
        List<ServerEnd> told = new ArrayList<>();
        ends.forEach((server, end) ->
                told.add(new ServerEnd(digest, server, Duration.ofNanos(Math.max(0, now - end.at())), end.excused())));
        return told;
    }

    private void dropOldest() {
        if (ends.size() > MOST_KEPT) {
            ends.entrySet().stream()
                    .min(Comparator.comparingLong(entry -> entry.getValue().at()))
                    .map(Map.Entry::getKey)
                    .ifPresent(ends::remove);
        }
    }

    private record KnownEnd(long at, boolean excused) {}
}
