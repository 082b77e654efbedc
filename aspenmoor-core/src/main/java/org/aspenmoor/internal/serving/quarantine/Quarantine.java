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
 * Decides which requests and parts of prompts are withheld from servers because servers that processed them
 * terminated. Confined to one thread.
 *
 * <p>A request that crashes every server that processes it is sent again by its caller, at any entry, and can terminate
 * server after server until no request is served. Terminations are therefore counted across all arrivals and entries. A
 * server that terminates also fails the other requests it was processing. What distinguishes those from the request
 * that caused the termination is an answer: a request that is answered, on another server or shortly before, is
 * cleared.
 *
 * <p>What all requests that terminate servers have in common may be a part of their prompts. Parts are tracked in the
 * same way. Those that answers are often based on are cleared all the time; what remains after two terminations is
 * nearly always the cause.
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

    /** Time in which parts that are in use are answered somewhere. */
    static final Duration MIN_OBSERVATION = Duration.ofSeconds(2);

    /** How long a trial keeps other requests with the suspect from servers if nothing is heard of its outcome. */
    private static final Duration MAX_TRIAL = Duration.ofSeconds(10);

    /** How long a termination counts. */
    public static final Duration RETENTION = Duration.ofDays(1);

    /**
     * Limits memory to a few megabytes. Each terminated server makes suspects of the requests that it was
     * processing, some dozens.
     */
    static final int MAX_SUSPECTS = 2000;

    private final Map<SuspectDigest, Suspect> suspects = new HashMap<>();
    /** Suspects with terminations on more than one server; most other suspects are coincidental. */
    private final Set<SuspectDigest> multipleTerminations = new LinkedHashSet<>();

    private final Set<SuspectDigest> quarantined = new HashSet<>();
    private final TrialTurns trialTurns;
    private final long startedAtNanos;
    private final RecentAnswers recentAnswers = new RecentAnswers();
    /** Separate, so that single requests do not displace parts, which are far fewer. */
    private final RecentAnswers recentPartAnswers = new RecentAnswers();

    private final TerminationReportQueue reportQueue = new TerminationReportQueue();

    /**
     * Creates an instance that knows no terminations.
     *
     * @param trialTurns when this entry may try a suspect after a quarantine period
     * @param startedAtNanos when this entry started, in nanoseconds of the monotonic clock
     */
    public Quarantine(TrialTurns trialTurns, long startedAtNanos) {
        this.trialTurns = trialTurns;
        this.startedAtNanos = startedAtNanos;
    }

    /** Returns whether no request is known to have been on a server when it terminated. */
    public boolean isEmpty() {
        return suspects.isEmpty();
    }

    /**
     * Records that a server terminated while it processed a request of this entry; returns whether this is new
     * information.
     */
    public boolean serverTerminated(SuspectDigest request, ServerIncarnation incarnation, long nowNanos) {
        boolean isNew = add(
                new ServerTermination(request, incarnation, Duration.ZERO, recentAnswers.contains(request, nowNanos)),
                nowNanos);
        if (isNew) {
            reportQueue.add(request);
        }
        return isNew;
    }

    /**
     * Records that a server terminated while it began an answer based on a part; returns whether this is new
     * information. A part that was answered lately is not the cause, and most parts were. Right after its start an entry
     * does not know yet which ones.
     */
    public boolean serverTerminatedOnPart(SuspectDigest part, ServerIncarnation incarnation, long nowNanos) {
        boolean answersKnown = nowNanos - startedAtNanos >= MIN_OBSERVATION.toNanos();
        return answersKnown
                && !recentPartAnswers.contains(part, nowNanos)
                && serverTerminated(part, incarnation, nowNanos);
    }

    /**
     * Records a termination reported by another entry or read from the store; returns whether this is new
     * information.
     */
    public boolean terminationReported(ServerTermination reported, long nowNanos) {
        if (reported.age().compareTo(RETENTION) > 0) {
            return false;
        }
        boolean clearedHere = !reported.cleared() && recentlyAnswered(reported.suspect(), nowNanos);
        ServerTermination termination = new ServerTermination(
                reported.suspect(), reported.incarnation(), reported.age(), reported.cleared() || clearedHere);
        boolean isNew = add(termination, nowNanos);
        if (isNew && clearedHere) {
            reportQueue.add(reported.suspect());
        }
        return isNew;
    }

    /** Records that a request was answered; returns whether this clears a termination. */
    public boolean requestAnswered(SuspectDigest request, long nowNanos) {
        recentAnswers.add(request, nowNanos);
        return clear(request);
    }

    /** Records that a request with the given part was answered; returns whether this clears a termination. */
    public boolean partAnswered(SuspectDigest part, long nowNanos) {
        recentPartAnswers.add(part, nowNanos);
        return clear(part);
    }

    /**
     * Records that a request is sent although servers terminated on the suspect; no other request with the suspect is
     * sent meanwhile.
     */
    public void beginTrial(SuspectDigest suspect, String requestId, long nowNanos) {
        Optional.ofNullable(suspects.get(suspect))
                .ifPresent(known -> known.beginTrial(requestId, nowNanos + MAX_TRIAL.toNanos()));
    }

    /** Returns the terminations to include in the next report to the other entries. */
    public List<ServerTermination> takeNextReport(long nowNanos) {
        return isEmpty() ? List.of() : reportQueue.takeNextReport(this, nowNanos);
    }

    /** Ends a trial that has shown nothing, such as that of a request which was refused for lack of capacity. */
    public void endTrial(SuspectDigest suspect, String requestId) {
        Optional.ofNullable(suspects.get(suspect)).ifPresent(known -> known.endTrial(requestId));
    }

    /** Decides whether a suspect may be sent to a server; {@code nowNanos} is monotonic time in nanoseconds. */
    public QuarantineDecision decide(SuspectDigest suspect, long nowNanos) {
        return decide(suspect, "", nowNanos);
    }

    /** Decides whether a request may be sent to a server with a suspect; its own trial does not withhold it. */
    public QuarantineDecision decide(SuspectDigest digest, String requestId, long nowNanos) {
        Suspect suspect = suspects.get(digest);
        int terminations = suspect == null ? 0 : suspect.countedTerminations();
        if (terminations == 0) {
            return new QuarantineDecision.Clear();
        }
        if (terminations < MIN_TERMINATIONS) {
            return new QuarantineDecision.Suspected(terminations);
        }
        long periodEndsAt =
                suspect.lastCountedAt() + quarantinePeriod(terminations).toNanos();
        // If turns counted from a period that ended before the start of all entries, all would have their turn at once.
        long turnAt = Math.max(periodEndsAt, startedAtNanos)
                + trialTurns.delay(digest).toNanos();
        long remainingNanos = Math.max(turnAt, suspect.otherTrialEndsAt(requestId)) - nowNanos;
        return remainingNanos > 0
                ? new QuarantineDecision.Quarantined(terminations, Duration.ofNanos(remainingNanos))
                : new QuarantineDecision.Suspected(terminations);
    }

    /** Returns the known server terminations of a suspect. */
    public List<ServerTermination> terminations(SuspectDigest digest, long nowNanos) {
        Suspect suspect = suspects.get(digest);
        return suspect == null ? List.of() : suspect.terminations(nowNanos);
    }

    /** Returns the suspects with terminations on more than one server, cleared or not. */
    public List<SuspectDigest> suspectsWithMultipleTerminations() {
        return List.copyOf(multipleTerminations);
    }

    /** Returns the number of suspects in quarantine as of the last call of {@link #collectChanges}. */
    public int quarantinedCount() {
        return quarantined.size();
    }

    /** Removes suspects whose latest termination is older than {@link #RETENTION}. */
    public void expire(long nowNanos) {
        suspects.values().removeIf(suspect -> nowNanos - suspect.lastKnownAt() > RETENTION.toNanos());
        multipleTerminations.retainAll(suspects.keySet());
    }

    /** Returns the suspects that entered or left quarantine since the last call. */
    public List<QuarantineChange> collectChanges(long nowNanos) {
        List<QuarantineChange> changes = new ArrayList<>();
        for (SuspectDigest suspect : multipleTerminations) {
            if (decide(suspect, nowNanos) instanceof QuarantineDecision.Quarantined decision
                    && quarantined.add(suspect)) {
                changes.add(new QuarantineChange(suspect, Optional.of(decision)));
            }
        }
        quarantined.removeIf(suspect -> {
            boolean released = !(decide(suspect, nowNanos) instanceof QuarantineDecision.Quarantined);
            if (released) {
                changes.add(new QuarantineChange(suspect, Optional.empty()));
            }
            return released;
        });
        return changes;
    }

    private boolean clear(SuspectDigest digest) {
        Suspect suspect = suspects.get(digest);
        boolean clears = suspect != null && suspect.clear();
        if (clears) {
            reportQueue.add(digest);
        }
        return clears;
    }

    private boolean recentlyAnswered(SuspectDigest digest, long nowNanos) {
        return recentAnswers.contains(digest, nowNanos) || recentPartAnswers.contains(digest, nowNanos);
    }

    private static Duration quarantinePeriod(int terminations) {
        return QUARANTINE_PERIODS.get(Math.min(terminations - MIN_TERMINATIONS, QUARANTINE_PERIODS.size() - 1));
    }

    private boolean add(ServerTermination termination, long nowNanos) {
        Suspect suspect = suspects.get(termination.suspect());
        if (suspect == null) {
            evictIfFull();
            suspect = new Suspect(termination.suspect());
            suspects.put(termination.suspect(), suspect);
        }
        boolean isNew = suspect.add(
                termination.incarnation(), nowNanos - termination.age().toNanos(), termination.cleared());
        if (suspect.knownTerminations() > 1) {
            multipleTerminations.add(termination.suspect());
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
                .min(Comparator.comparingInt((Map.Entry<SuspectDigest, Suspect> entry) ->
                                entry.getValue().countedTerminations())
                        .thenComparingLong(entry -> entry.getValue().lastKnownAt()))
                .map(Map.Entry::getKey)
                .ifPresent(this::remove);
    }

    private void remove(SuspectDigest suspect) {
        suspects.remove(suspect);
        multipleTerminations.remove(suspect);
    }
}
