package org.aspenmoor.internal.dissemination;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/** Ranks names for a subject alike in every process; a name that leaves moves nothing but its own place. */
final class Rendezvous {
    private Rendezvous() {}

    /** Returns the names, the best for the subject first. */
    static List<String> rank(String subject, Collection<String> names) {
        return names.stream()
                .map(name -> new Ranked(name, StableHash.of(subject, name)))
                .sorted(Comparator.comparingLong(Ranked::score).reversed().thenComparing(Ranked::name))
                .map(Ranked::name)
                .toList();
    }

    private record Ranked(String name, long score) {}
}
