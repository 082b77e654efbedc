package org.aspenmoor.internal.dissemination;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Rendezvous hashing: ranks names for a subject in the same order in every process. Removing a name does not change the
 * order of the others.
 */
public final class RendezvousHash {
    private RendezvousHash() {}

    /** Returns the names, the highest ranked for the subject first. */
    public static List<String> rank(String subject, Collection<String> names) {
        return names.stream()
                .map(name -> new ScoredName(name, StableHash.of(subject, name)))
                .sorted(Comparator.comparingLong(ScoredName::score).reversed().thenComparing(ScoredName::name))
                .map(ScoredName::name)
                .toList();
    }

    private record ScoredName(String name, long score) {}
}
