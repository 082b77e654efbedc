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
 * <p>A request that crashes every server that processes it is sent again by its caller, at any entry, and can terminate
 * server after server until no request is served. Terminations are therefore counted across all arrivals and entries. A
 * server that terminates also fails the other requests it was processing. What distinguishes those from the request
 * that caused the termination is an answer: a request that is answered, on another server or shortly before, is
 * cleared.
 */
public final class Quarantine {
    /** Minimum number of terminations without an answer between them that is unlikely to be a coincidence. */
    public static final int MIN_TERMINATIONS = 2;

    /**
     * Quarantine periods by the number of terminations beyond the first. The first periods are short, for the sake of
     * requests that were on a terminating server by coincidence; after each period, one more server run shows whether
     * the request is fatal.
     */
    static final List<Duration> QUARANTINE_PERIODS = List.of(
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
    static final int MAX_SUSPECTS = 2000;

    private final Map<RequestDigest, SuspectRequest> suspects = new HashMap<>();
    /** Requests with terminations on more than one server; most other suspects are coincidental. */
    private final Set<RequestDigest> multipleTerminations = new LinkedHashSet<>();

    private final Set<RequestDigest> quarantined = new HashSet<>();
    private final RecentAnswers recentAnswers = new RecentAnswers();
    private final TerminationReportQueue reportQueue = new TerminationReportQueue();

    /** Returns whether no request is known to have been on a server when it terminated. */
    public boolean isEmpty() {
        return suspects.isEmpty();
    }

    /**
     * Records that a server terminated while it processed a request of this entry; returns whether this is new
     * information.
     */
    public boolean serverTerminated(RequestDigest request, ServerIncarnation incarnation, long nowNanos) {
        boolean isNew = add(
                new ServerTermination(request, incarnation, Duration.ZERO, recentAnswers.contains(request, nowNanos)),
                nowNanos);
        if (isNew) {
            reportQueue.add(request);
        }
        return isNew;
    }

    /**
     * Records a termination reported by another entry or read from the store; returns whether this is new
     * information.
     */
    public boolean terminationReported(ServerTermination reported, long nowNanos) {
        if (reported.age().compareTo(RETENTION) > 0) {
            return false;
        }
        boolean clearedHere = !reported.cleared() && recentAnswers.contains(reported.request(), nowNanos);
        ServerTermination termination = new ServerTermination(
                reported.request(), reported.incarnation(), reported.age(), reported.cleared() || clearedHere);
        boolean isNew = add(termination, nowNanos);
        if (isNew && clearedHere) {
            reportQueue.add(reported.request());
        }
        return isNew;
    }

    /** Records that a request was answered; returns whether this clears a termination. */
    public boolean requestAnswered(RequestDigest request, long nowNanos) {
        recentAnswers.add(request, nowNanos);
        SuspectRequest suspect = suspects.get(request);
        boolean clears = suspect != null && suspect.clear();
        if (clears) {
            reportQueue.add(request);
        }
        return clears;
    }

    /** Returns the terminations to include in the next report to the other entries. */
    public List<ServerTermination> takeNextReport(long nowNanos) {
        return isEmpty() ? List.of() : reportQueue.takeNextReport(this, nowNanos);
    }

    /** Decides whether a request may be sent to a server; {@code nowNanos} is monotonic time in nanoseconds. */
    public QuarantineDecision decide(RequestDigest request, long nowNanos) {
        SuspectRequest suspect = suspects.get(request);
        int terminations = suspect == null ? 0 : suspect.countedTerminations();
        if (terminations == 0) {
            return new QuarantineDecision.Clear();
        }
        if (terminations < MIN_TERMINATIONS) {
            return new QuarantineDecision.Suspected(terminations);
        }
        long remainingNanos =
                suspect.lastCountedAt() + quarantinePeriod(terminations).toNanos() - nowNanos;
        return remainingNanos > 0
                ? new QuarantineDecision.Quarantined(terminations, Duration.ofNanos(remainingNanos))
                : new QuarantineDecision.Suspected(terminations);
    }

    /** Returns the known server terminations of a request. */
    public List<ServerTermination> terminations(RequestDigest request, long nowNanos) {
        SuspectRequest suspect = suspects.get(request);
        return suspect == null ? List.of() : suspect.terminations(nowNanos);
    }

    /** Returns the requests with terminations on more than one server, cleared or not. */
    public List<RequestDigest> requestsWithMultipleTerminations() {
        return List.copyOf(multipleTerminations);
    }

    /** Returns the number of requests in quarantine as of the last call of {@link #collectChanges}. */
    public int quarantinedCount() {
        return quarantined.size();
    }

    /** Removes suspects whose latest termination is older than {@link #RETENTION}. */
    public void expire(long nowNanos) {
        suspects.values().removeIf(suspect -> nowNanos - suspect.lastKnownAt() > RETENTION.toNanos());
        multipleTerminations.retainAll(suspects.keySet());
    }

    /** Returns the requests that entered or left quarantine since the last call. */
    public List<QuarantineChange> collectChanges(long nowNanos) {
        List<QuarantineChange> changes = new ArrayList<>();
        for (RequestDigest request : multipleTerminations) {
            if (decide(request, nowNanos) instanceof QuarantineDecision.Quarantined decision
                    && quarantined.add(request)) {
                changes.add(new QuarantineChange(request, Optional.of(decision)));
            }
        }
        quarantined.removeIf(request -> {
            boolean released = !(decide(request, nowNanos) instanceof QuarantineDecision.Quarantined);
            if (released) {
                changes.add(new QuarantineChange(request, Optional.empty()));
            }
            return released;
        });
        return changes;
    }

    private static Duration quarantinePeriod(int terminations) {
        return QUARANTINE_PERIODS.get(Math.min(terminations - MIN_TERMINATIONS, QUARANTINE_PERIODS.size() - 1));
    }

    private boolean add(ServerTermination termination, long nowNanos) {
        SuspectRequest suspect = suspects.get(termination.request());
        if (suspect == null) {
            evictIfFull();
            suspect = new SuspectRequest(termination.request());
            suspects.put(termination.request(), suspect);
        }
        boolean isNew = suspect.add(
                termination.incarnation(), nowNanos - termination.age().toNanos(), termination.cleared());
        if (suspect.knownTerminations() > 1) {
            multipleTerminations.add(termination.request());
        }
        return isNew;
    }

    /**
     * Evicts the suspect with the fewest terminations if there are too many suspects, so that a caller who keeps
     * sending new requests cannot displace requests with more terminations.
     */
    private void evictIfFull() {
        if (suspects.size() < MAX_SUSPECTS) {
            return;
        }
        suspects.entrySet().stream()
                .min(Comparator.comparingInt((Map.Entry<RequestDigest, SuspectRequest> entry) ->
                                entry.getValue().countedTerminations())
                        .thenComparingLong(entry -> entry.getValue().lastKnownAt()))
                .map(Map.Entry::getKey)
                .ifPresent(this::remove);
    }

    private void remove(RequestDigest request) {
        suspects.remove(request);
        multipleTerminations.remove(request);
    }
}
