package org.aspenmoor.internal.dissemination;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/** Ranks names for a subject alike in every process; a name that leaves moves nothing but its own place. */
final class RendezvousHash {
    private RendezvousHash() {}

    /** Returns the names, the best for the subject first. */
    static List<String> rank(String subject, Collection<String> names) {
        return names.stream()
                .map(name -> new ScoredName(name, StableHash.of(subject, name)))
                .sorted(Comparator.comparingLong(ScoredName::score).reversed().thenComparing(ScoredName::name))
                .map(ScoredName::name)
                .toList();
    }

    private record ScoredName(String name, long score) {}
}
