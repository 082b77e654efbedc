package org.aspenmoor.internal.serving.quarantine;

import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;
import org.aspenmoor.internal.dissemination.RendezvousHash;

/**
 * Lets the entries try a suspect in turns, of which each has twice as many entries as the one before, in an order that
 * all of them calculate alike.
 *
 * <p>If all tried at once when a quarantine period ends, many servers could terminate before any entry had heard of it.
 * If one tried after the other, a suspect that is rarely requested would be withheld for minutes in a large fleet.
 */
public final class RankedTrialTurns implements TrialTurns {
    /** About as long as a trial and its report to the other entries take. */
    private static final Duration TURN = Duration.ofSeconds(1);

    private final String entry;
    private final Supplier<List<String>> activeEntries;

    /**
     * Creates an instance.
     *
     * @param entry the name of this entry
     * @param activeEntries supplies the names of the entries heard lately
     */
    public RankedTrialTurns(String entry, Supplier<List<String>> activeEntries) {
        this.entry = entry;
        this.activeEntries = activeEntries;
    }

    @Override
    public Duration delay(SuspectDigest suspect) {
        Set<String> entries = new LinkedHashSet<>(activeEntries.get());
        entries.add(entry);
        int rank = RendezvousHash.rank(suspect.hex(), entries).indexOf(entry);
        int turn = Integer.SIZE - 1 - Integer.numberOfLeadingZeros(rank + 1);
        return TURN.multipliedBy(turn);
    }
}
