package org.aspenmoor.internal.serving.quarantine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Decides which requests are withheld from servers because servers that processed them terminated. Confined to one
 * thread.
 *
 * <p>A request that crashes every server that processes it is retried by its caller, at any entry, and can take
 * down server after server until no request is served. Terminations are therefore counted across all arrivals and
 * entries. A server that terminates also fails the other requests it was processing. These are told apart by their
 * answers: a request that is answered, elsewhere or shortly before, is cleared.
 */
public final class Quarantine {
    /** Minimum number of terminations without an answer between them that is unlikely to be a coincidence. */
    public static final int LEAST_ENDS = 2;

    /**
     * Quarantine periods by the number of terminations beyond the first. The first periods are short for requests
     * that were on a terminating server by coincidence; after each period, one more server run shows whether the
     * request is fatal.
     */
    static final List<Duration> TERMS = List.of(
            Duration.ofSeconds(10),
            Duration.ofMinutes(1),
            Duration.ofMinutes(10),
            Duration.ofMinutes(100),
            Duration.ofDays(1));

    /** How long a termination counts. */
    public static final Duration RETENTION = Duration.ofDays(1);

    /**
     * Limits memory to a few megabytes. Each terminated server makes suspects of the requests that it was
     * processing, some dozens.
     */
    static final int MOST_SUSPECTS = 2000;

    private final Map<RequestDigest, SuspectRequest> suspects = new HashMap<>();
    /** Requests with terminations on more than one server; most other suspects are coincidental. */
    private final Set<RequestDigest> repeated = new LinkedHashSet<>();

    private final Set<RequestDigest> quarantined = new HashSet<>();
    private final RecentAnswers recentAnswers = new RecentAnswers();
    private final EndNews news = new EndNews();

    /** Returns whether no request is known to have been on a server when it terminated. */
    public boolean empty() {
        return suspects.isEmpty();
    }

    /**
     * Records that a server terminated while it processed a request of this entry; returns whether this is new
     * information.
     */
    public boolean serverEnded(RequestDigest request, ServerStart server, long now) {
        boolean isNew = add(new ServerEnd(request, server, Duration.ZERO, recentAnswers.contains(request, now)), now);
        if (isNew) {
            news.add(request);
        }
        return isNew;
    }

    /**
     * Records a termination reported by another entry or read from the store; returns whether this is new
     * information.
     */
    public boolean heard(ServerEnd told, long now) {
        if (told.age().compareTo(RETENTION) > 0) {
            return false;
        }
        boolean excusedHere = !told.excused() && recentAnswers.contains(told.request(), now);
        ServerEnd end = new ServerEnd(told.request(), told.server(), told.age(), told.excused() || excusedHere);
        boolean isNew = add(end, now);
        if (isNew && excusedHere) {
            news.add(told.request());
        }
        return isNew;
    }

    /** Records that a request was answered; returns whether this clears a termination. */
    public boolean answered(RequestDigest request, long now) {
        recentAnswers.add(request, now);
        SuspectRequest suspect = suspects.get(request);
        boolean excuses = suspect != null && suspect.answered();
        if (excuses) {
            news.add(request);
        }
        return excuses;
    }

    /** Returns the terminations to include in the next report to the other entries. */
    public List<ServerEnd> takeNews(long now) {
        return empty() ? List.of() : news.take(this, now);
    }

    /** Decides whether a request may be sent to a server; {@code now} is monotonic time in nanoseconds. */
    public Verdict verdict(RequestDigest request, long now) {
        SuspectRequest suspect = suspects.get(request);
        int ends = suspect == null ? 0 : suspect.count();
        if (ends == 0) {
            return new Verdict.Clear();
        }
        if (ends < LEAST_ENDS) {
            return new Verdict.Suspected(ends);
        }
        long left = suspect.lastAt() + term(ends).toNanos() - now;
        return left > 0 ? new Verdict.Quarantined(ends, Duration.ofNanos(left)) : new Verdict.Suspected(ends);
    }

    /** Returns the known server terminations of a request. */
    public List<ServerEnd> ends(RequestDigest request, long now) {
        SuspectRequest suspect = suspects.get(request);
        return suspect == null ? List.of() : suspect.told(now);
    }

    /** Returns the requests with terminations on more than one server, cleared or not. */
    public List<RequestDigest> repeated() {
        return List.copyOf(repeated);
    }

    /** Returns the number of requests in quarantine as of the last call of {@link #review}. */
    public int size() {
        return quarantined.size();
    }

    /** Removes suspects whose latest termination is older than {@link #RETENTION}. */
    public void expire(long now) {
        suspects.values().removeIf(suspect -> now - suspect.newestAt() > RETENTION.toNanos());
        repeated.retainAll(suspects.keySet());
    }

    /** Returns the requests that entered or left quarantine since the last call. */
    public List<QuarantineChange> review(long now) {
        List<QuarantineChange> changes = new ArrayList<>();
        for (RequestDigest request : repeated) {
            if (verdict(request, now) instanceof Verdict.Quarantined verdict && quarantined.add(request)) {
                changes.add(new QuarantineChange(request, Optional.of(verdict)));
            }
        }
        quarantined.removeIf(request -> {
            boolean released = !(verdict(request, now) instanceof Verdict.Quarantined);
            if (released) {
                changes.add(new QuarantineChange(request, Optional.empty()));
            }
            return released;
        });
        return changes;
    }

    private static Duration term(int ends) {
        return TERMS.get(Math.min(ends - LEAST_ENDS, TERMS.size() - 1));
    }

    private boolean add(ServerEnd end, long now) {
        SuspectRequest suspect = suspects.get(end.request());
        if (suspect == null) {
            makeRoom();
            suspect = new SuspectRequest(end.request());
            suspects.put(end.request(), suspect);
        }
        boolean isNew = suspect.add(end.server(), now - end.age().toNanos(), end.excused());
        if (suspect.known() > 1) {
            repeated.add(end.request());
        }
        return isNew;
    }

    /**
     * Evicts the suspect with the fewest terminations, so that a caller who keeps sending new requests cannot
     * displace requests with more terminations.
     */
    private void makeRoom() {
        if (suspects.size() < MOST_SUSPECTS) {
            return;
        }
        suspects.entrySet().stream()
                .min(Comparator.comparingInt((Map.Entry<RequestDigest, SuspectRequest> entry) ->
                                entry.getValue().count())
                        .thenComparingLong(entry -> entry.getValue().newestAt()))
                .map(Map.Entry::getKey)
                .ifPresent(this::remove);
    }

    private void remove(RequestDigest request) {
        suspects.remove(request);
        repeated.remove(request);
    }
}
