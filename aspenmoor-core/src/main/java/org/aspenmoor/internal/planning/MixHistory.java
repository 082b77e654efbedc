package org.aspenmoor.internal.planning;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/**
 * The mixes seen so far and how long they lasted; says how long the present one will probably last.
 *
 * <p>A mix that swings faster than a change pays would otherwise be chased for ever; one would notice engines that are
 * away most of the time. Where nothing was learnt yet, a mix is expected to last as long again as it has lasted, the
 * rule by which the classical rent-or-buy strategy never costs more than twice the best choice in hindsight.
 */
final class MixHistory {
    private static final int MOST_SEGMENTS = 8;
    private static final int SAME_CHANGE_BUCKETS = 3;

    private final Deque<Segment> past = new ArrayDeque<>();
    private Segment present = new Segment(Long.MIN_VALUE, 0, List.of());

    /** Notes the present mix; a much later first second than before means that the one before has ended. */
    void observe(Segment segment) {
        if (present.seconds() > 0 && segment.firstBucket() > present.firstBucket() + SAME_CHANGE_BUCKETS) {
            double lasted = segment.firstBucket() - present.firstBucket();
            past.addLast(new Segment(present.firstBucket(), lasted, present.demands()));
        }
        while (!past.isEmpty() && segment.firstBucket() <= past.getLast().firstBucket() + SAME_CHANGE_BUCKETS) {
            past.removeLast();
        }
        if (past.size() > MOST_SEGMENTS) {
            past.removeFirst();
        }
        present = segment;
    }

    Segment present() {
        return present;
    }

    /** Returns the mixes before the present one, oldest first. */
    List<Segment> past() {
        return List.copyOf(past);
    }

    /** Returns how many seconds the present mix will probably last on. */
    double remainingSeconds() {
        double age = present.seconds();
        if (past.isEmpty()) {
            return age;
        }
        double usual = usualSeconds();
        return Math.max(usual - age, Math.max(usual, age) / 2);
    }

    private double usualSeconds() {
        double logarithms = 0;
        for (Segment segment : past) {
            logarithms += Math.log(segment.seconds());
        }
        return Math.exp(logarithms / past.size());
    }
}
