package org.aspenmoor.internal.serving.quarantine;

import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.aspenmoor.internal.dissemination.RendezvousHash;

/**
 * Lets the entries try a suspect in turns, of which each has twice as many entries as the one before, in an order that
 * all of them calculate alike.
 *
 * <p>If all tried at once when a quarantine period ends, many servers could terminate before any entry had heard of it.
 * If one tried after the other, a suspect that is rarely requested would be withheld for minutes in a large fleet.
 *
 * <p>All registered entries have a turn, whether they are heard or not. Right after the start of all of them nobody has
 * heard another one yet, and each would take itself for the first.
 */
public final class RankedTrialTurns implements TrialTurns {
    /** About as long as a trial and its report to the other entries take. */
    private static final Duration TURN = Duration.ofSeconds(1);

    /** Delay while the registered entries are not known; longer than that of the last turn of some dozens of entries. */
    private static final Duration DELAY_IF_UNKNOWN = TURN.multipliedBy(5);

    private final String entry;
    private final Supplier<Optional<Set<String>>> registeredEntries;

    /**
     * Creates an instance.
     *
     * @param entry the name of this entry
     * @param registeredEntries supplies the names of the registered entries; empty as long as they are not known
     */
    public RankedTrialTurns(String entry, Supplier<Optional<Set<String>>> registeredEntries) {
        this.entry = entry;
        this.registeredEntries = registeredEntries;
    }

    @Override
    public Duration delay(SuspectDigest suspect) {
        Optional<Set<String>> registered = registeredEntries.get();
        if (registered.isEmpty()) {
            return DELAY_IF_UNKNOWN;
        }
        Set<String> entries = new LinkedHashSet<>(registered.get());
        entries.add(entry);
        int rank = RendezvousHash.rank(suspect.hex(), entries).indexOf(entry);
        int turn = Integer.SIZE - 1 - Integer.numberOfLeadingZeros(rank + 1);
        return TURN.multipliedBy(turn);
    }
}
