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
 * Gives each of many subjects some holders by rendezvous hashing, none of which gets much more than its share.
 *
 * <p>Plain rendezvous hashing gives some holder far more than its share at these sizes, and that holder's traffic would
 * break the budget first; the cap turns the surplus to each subject's next choice.
 */
final class BoundedAssignment {
    private static final double SLACK = 1.25;

    private final Map<String, List<String>> holdersBySubject = new LinkedHashMap<>();
    private final Map<String, List<String>> subjectsByHolder = new HashMap<>();

    BoundedAssignment(Collection<String> holders, Collection<String> subjects, int holdersPerSubject) {
        holders.forEach(holder -> subjectsByHolder.put(holder, new ArrayList<>()));
        int wanted = Math.min(holdersPerSubject, holders.size());
        int most = mostSubjectsPerHolder(holders.size(), subjects.size(), wanted);
        for (String subject : inStableOrder(subjects)) {
            assign(subject, Rendezvous.rank(subject, holders), wanted, most);
        }
    }

    /** Returns the holders of a subject, the best first. */
    List<String> holdersOf(String subject) {
        return holdersBySubject.getOrDefault(subject, List.of());
    }

    /** Returns the subjects a holder was given. */
    List<String> subjectsOf(String holder) {
        return subjectsByHolder.getOrDefault(holder, List.of());
    }

    private void assign(String subject, List<String> ranked, int wanted, int most) {
        List<String> chosen = new ArrayList<>();
        for (String holder : ranked) {
            if (chosen.size() < wanted && subjectsByHolder.get(holder).size() < most) {
                chosen.add(holder);
            }
        }
        for (String holder : ranked) {
            if (chosen.size() < wanted && !chosen.contains(holder)) {
                chosen.add(holder);
            }
        }
        chosen.forEach(holder -> subjectsByHolder.get(holder).add(subject));
        holdersBySubject.put(subject, chosen);
    }

    private static int mostSubjectsPerHolder(int holders, int subjects, int wanted) {
        return holders == 0 ? 0 : (int) Math.ceil(SLACK * subjects * wanted / holders);
    }

    private static List<String> inStableOrder(Collection<String> subjects) {
        return new TreeSet<>(subjects)
                .stream()
                        .sorted(Comparator.comparingLong((String name) -> StableHash.of(name)))
                        .toList();
    }
}
