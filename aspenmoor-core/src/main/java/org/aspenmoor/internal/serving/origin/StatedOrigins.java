package org.aspenmoor.internal.serving.origin;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.aspenmoor.internal.serving.entries.KnownEntries;

/**
 * The origins that entries state in their registrations. An entry states an origin before it begins streams there, and as
 * long as callers may take them up. The statements outlive the entries: if all are killed, those that start read which
 * versions have served, although the servers of some of them may have left.
 */
final class StatedOrigins {
    private final String ownEntry;
    private final Map<StreamOrigin, Long> acceptedAt = new HashMap<>();
    private Optional<Long> requestedAt = Optional.empty();
    private Set<StreamOrigin> retained = Set.of();
    private Set<StreamOrigin> renewed = Set.of();
    private Set<StreamOrigin> ofEarlierProcess = Set.of();
    private Set<StreamOrigin> byThisEntry = Set.of();

    StatedOrigins(String ownEntry) {
        this.ownEntry = ownEntry;
    }

    /**
     * Applies what has been read from the store.
     *
     * @param window for how long callers may take up streams
     */
    void listed(OriginListing listing, Duration window) {
        Map<String, OriginStatement> statements = listing.statements();
        byThisEntry =
                statements.containsKey(ownEntry) ? statements.get(ownEntry).origins() : Set.of();
        if (requestedAt.isEmpty()) {
            ofEarlierProcess = byThisEntry;
        }
        requestedAt = Optional.of(listing.requestedAt());
        retained = origins(statements, OriginStatement.RETENTION);
        renewed = origins(statements, window.plus(KnownEntries.LEASE));
    }

    private static Set<StreamOrigin> origins(Map<String, OriginStatement> statements, Duration maxAge) {
        return statements.values().stream()
                .filter(statement -> statement.age().compareTo(maxAge) < 0)
                .flatMap(statement -> statement.origins().stream())
                .collect(Collectors.toSet());
    }

    /** Records that the store has accepted what this entry states. */
    void accepted(Set<StreamOrigin> origins, long now) {
        byThisEntry = Set.copyOf(origins);
        acceptedAt.keySet().retainAll(origins);
        origins.forEach(origin -> acceptedAt.putIfAbsent(origin, now));
    }

    /**
     * Returns the origins that the store has accepted as stated by this entry at least so long ago; all that it has
     * accepted if there is none, as after a start.
     */
    Set<StreamOrigin> byThisEntryFor(Duration time, long now) {
        Set<StreamOrigin> settled = byThisEntry.stream()
                .filter(origin -> now - acceptedAt.getOrDefault(origin, now) >= time.toNanos())
                .collect(Collectors.toUnmodifiableSet());
        return settled.isEmpty() ? byThisEntry : settled;
    }

    /** Records that these origins are to be stated from now on; the store may be without the others at any moment. */
    void requested(Set<StreamOrigin> origins) {
        byThisEntry = byThisEntry.stream().filter(origins::contains).collect(Collectors.toUnmodifiableSet());
    }

    /** Returns whether the registrations have been read since this process started. */
    boolean known() {
        return requestedAt.isPresent();
    }

    /** Returns whether the registrations have been requested at the given time or later. */
    boolean requestedSince(long time) {
        return requestedAt.filter(requested -> requested >= time).isPresent();
    }

    /** Returns what the process before this one has stated. */
    Set<StreamOrigin> ofEarlierProcess() {
        return ofEarlierProcess;
    }

    /** Returns what this entry states, as far as the store has accepted it. */
    Set<StreamOrigin> byThisEntry() {
        return byThisEntry;
    }

    /**
     * Returns the origins that streams may have which callers still take up.
     *
     * @param observed whether this entry has seen the servers without a gap for as long as that; then registrations that
     *     are no longer renewed are those of entries that have gone
     */
    Set<StreamOrigin> all(boolean observed) {
        Set<StreamOrigin> origins = new HashSet<>(observed ? renewed : retained);
        origins.addAll(byThisEntry);
        return origins;
    }
}
