package org.aspenmoor.internal.dissemination;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * Assigns holders to each subject by rendezvous hashing with bounded load.
 *
 * <p>With the numbers of holders and subjects used here, plain rendezvous hashing gives some holders far more than the
 * average load, and their traffic would exceed its budget first. If the preferred holder of a subject has reached the
 * limit, the next choice is assigned instead.
 */
final class BoundedAssignment {
    /**
     * Limits the subjects per holder, relative to the average. The limit is exceeded only if a subject has too few holders
     * below it.
     */
    private static final double CAPACITY_FACTOR = 1.25;

    private final Map<String, List<String>> holdersBySubject = new LinkedHashMap<>();
    private final Map<String, List<String>> subjectsByHolder = new HashMap<>();

    BoundedAssignment(Collection<String> holders, Collection<String> subjects, int holdersPerSubject) {
        holders.forEach(holder -> subjectsByHolder.put(holder, new ArrayList<>()));
        int holderCount = Math.min(holdersPerSubject, holders.size());
        int maxSubjects = maxSubjectsPerHolder(holders.size(), subjects.size(), holderCount);
        for (String subject : sortedByHash(subjects)) {
            assign(subject, RendezvousHash.rank(subject, holders), holderCount, maxSubjects);
        }
    }

    /** Returns the holders of a subject, the highest ranked first. */
    List<String> holdersOf(String subject) {
        return holdersBySubject.getOrDefault(subject, List.of());
    }

    /** Returns the subjects assigned to a holder. */
    List<String> subjectsOf(String holder) {
        return subjectsByHolder.getOrDefault(holder, List.of());
    }

    private void assign(String subject, List<String> ranked, int holderCount, int maxSubjects) {
        List<String> chosen = new ArrayList<>();
        for (String holder : ranked) {
            if (chosen.size() < holderCount && subjectsByHolder.get(holder).size() < maxSubjects) {
                chosen.add(holder);
            }
        }
        for (String holder : ranked) {
            if (chosen.size() < holderCount && !chosen.contains(holder)) {
                chosen.add(holder);
            }
        }
        chosen.forEach(holder -> subjectsByHolder.get(holder).add(subject));
        holdersBySubject.put(subject, chosen);
    }

    private static int maxSubjectsPerHolder(int holders, int subjects, int holderCount) {
        return holders == 0 ? 0 : (int) Math.ceil(CAPACITY_FACTOR * subjects * holderCount / holders);
    }

    private static List<String> sortedByHash(Collection<String> subjects) {
        return new TreeSet<>(subjects)
                .stream()
                        .sorted(Comparator.comparingLong((String name) -> StableHash.of(name)))
                        .toList();
    }
}
