package org.aspenmoor.internal.serving.quarantine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** The server terminations of one request, or of one part of prompts. Confined to one thread. */
final class Suspect {
    /** Far more than a decision needs; the oldest are evicted first. */
    private static final int MAX_TERMINATIONS = 12;

    private final SuspectDigest digest;
    private final Map<ServerIncarnation, KnownTermination> terminations = new LinkedHashMap<>();
    private Optional<Trial> trial = Optional.empty();

    Suspect(SuspectDigest digest) {
        this.digest = digest;
    }

    /**
     * Adds a termination; returns whether this is new information. A cleared termination stays cleared, whatever is
     * reported later. Of two times the earlier is kept, so that a termination does not become more recent as it
     * passes from entry to entry.
     */
    boolean add(ServerIncarnation incarnation, long atNanos, boolean cleared) {
        KnownTermination known = terminations.get(incarnation);
        if (known == null) {
            terminations.put(incarnation, new KnownTermination(atNanos, cleared));
            evictOldest();
            return true;
        }
        terminations.put(
                incarnation, new KnownTermination(Math.min(known.atNanos(), atNanos), known.cleared() || cleared));
        return cleared && !known.cleared();
    }

    /** Records that the suspect was answered; returns whether this clears a termination. */
    boolean clear() {
        boolean clears = countedTerminations() > 0;
        trial = Optional.empty();
        terminations.replaceAll((incarnation, termination) -> new KnownTermination(termination.atNanos(), true));
        return clears;
    }

    /** Records that a request is sent to a server after a quarantine period, as the only one until the given time. */
    void beginTrial(String requestId, long endsAtNanos) {
        trial = Optional.of(new Trial(requestId, endsAtNanos));
    }

    /** Ends the trial of a request, if it is the current one. */
    void endTrial(String requestId) {
        trial = trial.filter(current -> !current.requestId().equals(requestId));
    }

    /** Returns until when the trial of another request lasts, in nanoseconds; the smallest number if there is none. */
    long otherTrialEndsAt(String requestId) {
        return trial.filter(current -> !current.requestId().equals(requestId))
                .map(Trial::endsAtNanos)
                .orElse(Long.MIN_VALUE);
    }

    /** Returns the number of known terminations, cleared or not. */
    int knownTerminations() {
        return terminations.size();
    }

    /** Returns the number of terminations that count against the suspect. */
    int countedTerminations() {
        return (int) terminations.values().stream()
                .filter(termination -> !termination.cleared())
                .count();
    }

    /** Returns the time of the latest termination that counts against the suspect, in nanoseconds. */
    long lastCountedAt() {
        return terminations.values().stream()
                .filter(termination -> !termination.cleared())
                .mapToLong(KnownTermination::atNanos)
                .max()
                .orElse(Long.MIN_VALUE);
    }

    /** Returns the time of the latest termination, cleared or not, in nanoseconds. */
    long lastKnownAt() {
        return terminations.values().stream()
                .mapToLong(KnownTermination::atNanos)
                .max()
                .orElse(Long.MIN_VALUE);
    }

    List<ServerTermination> terminations(long nowNanos) {
        List<ServerTermination> copies = new ArrayList<>();
        terminations.forEach((incarnation, termination) -> copies.add(new ServerTermination(
                digest,
                incarnation,
                Duration.ofNanos(Math.max(0, nowNanos - termination.atNanos())),
                termination.cleared())));
        return copies;
    }

    private void evictOldest() {
        if (terminations.size() > MAX_TERMINATIONS) {
            terminations.entrySet().stream()
                    .min(Comparator.comparingLong(entry -> entry.getValue().atNanos()))
                    .map(Map.Entry::getKey)
                    .ifPresent(terminations::remove);
        }
    }

    private record Trial(String requestId, long endsAtNanos) {}

    private record KnownTermination(long atNanos, boolean cleared) {}
}
