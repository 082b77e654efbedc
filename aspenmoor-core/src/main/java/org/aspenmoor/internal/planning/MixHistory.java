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
    private static final double SHORTEST_SEGMENT_SECONDS = 2;

    private final Deque<Segment> past = new ArrayDeque<>();
    private Segment present = new Segment(Long.MIN_VALUE, 0, List.of());
    private boolean firstWasSeen;

    /** Notes the present mix; another first second than before means that the one before has ended. */
    void observe(Segment segment) {
        boolean changed = segment.firstBucket() > present.firstBucket() + 1 && present.seconds() > 0;
        if (changed) {
            double lasted = segment.firstBucket() - present.firstBucket();
            if (lasted >= SHORTEST_SEGMENT_SECONDS) {
                past.addLast(new Segment(present.firstBucket(), lasted, present.demands()));
                firstWasSeen = true;
            }
            if (past.size() > MOST_SEGMENTS) {
                past.removeFirst();
            }
        }
        present = segment;
    }

    Segment present() {
        return present;
    }

    /** Returns the mixes before the present one, oldest first. */
    Iterable<Segment> past() {
        return past;
    }

    /** Returns how many seconds the present mix will probably last on. */
    double remainingSeconds() {
        double age = present.seconds();
        if (!firstWasSeen || past.size() < 2) {
            return age;
        }
        double logarithms = 0;
        int counted = 0;
        for (Segment segment : past) {
            logarithms += Math.log(segment.seconds());
            counted++;
        }
        double usual = Math.exp(logarithms / counted);
        return age < usual ? usual - age : age;
    }
}
