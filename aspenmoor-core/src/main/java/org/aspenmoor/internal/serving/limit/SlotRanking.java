package org.aspenmoor.internal.serving.limit;

import java.util.Collection;
import java.util.Map;
import org.aspenmoor.internal.dissemination.StableHash;

/**
 * Ranks entries for each slot of a server by weighted rendezvous hashing. Entries that know the same names rank them
 * alike without a message; one name more or less changes only the slots of that entry.
 */
final class SlotRanking {
    private static final int DISCARDED_BITS = 11;
    private static final double UNIT = 0x1.0p-53;

    private final long serverHash;

    /** Creates the ranking for the slots of a server. */
    SlotRanking(String server) {
        this.serverHash = StableHash.of(server);
    }

    /** Returns the entry that owns a slot, of the given ones; all have the same chance. */
    String owner(int slot, Collection<String> entries) {
        return entries.stream()
                .min((one, other) -> Double.compare(score(slot, one, 1), score(slot, other, 1)))
                .orElseThrow();
    }

    /**
     * Returns the entry that should use a slot. An entry's chance is proportional to its weight; with equal weights of
     * all entries it is the owner.
     *
     * @param weights the weights by entry; positive, at least one
     */
    String preferred(int slot, Map<String, Double> weights) {
        return weights.entrySet().stream()
                .min((one, other) -> Double.compare(
                        score(slot, one.getKey(), one.getValue()), score(slot, other.getKey(), other.getValue())))
                .orElseThrow()
                .getKey();
    }

    /** Returns an exponentially distributed number of the given rate; the lowest one comes first. */
    private double score(int slot, String entry, double weight) {
        long hash = StableHash.combine(StableHash.combine(serverHash, slot), StableHash.of(entry));
        double uniform = ((hash >>> DISCARDED_BITS) + 0.5) * UNIT;
        return -Math.log(uniform) / weight;
    }
}
