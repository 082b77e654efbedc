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
 *
 * <p>A mix whose share of prefill is close to the one before continues it: a slow drift is one long mix whose demand moves,
 * not a row of short ones that will come back.
 */
final class MixHistory {
    private static final int MOST_SEGMENTS = 8;
    private static final int SAME_CHANGE_BUCKETS = 3;
    private static final double MOST_DRIFT = 0.2;
    private static final double SETTLED_SECONDS = 8;

    private final Deque<Segment> past = new ArrayDeque<>();
    private Segment present = new Segment(Long.MIN_VALUE, 0, 0, List.of(), new RoleSplit(0, 0, 0));

    /** Notes the present mix; a much later first second than before means that the one before has ended. */
    void observe(Segment segment) {
        boolean later = segment.firstBucket() > present.firstBucket() + SAME_CHANGE_BUCKETS;
        if (present.seconds() > 0 && later) {
            if (Math.abs(present.prefillShare() - segment.prefillShare()) <= MOST_DRIFT) {
                present = continued(segment);
                return;
            }
            double lasted = segment.firstBucket() - present.firstBucket();
            past.addLast(new Segment(
                    present.firstBucket(), lasted, present.countedSeconds(), present.demands(), present.ideal()));
        }
        while (!past.isEmpty() && segment.firstBucket() <= past.getLast().firstBucket() + SAME_CHANGE_BUCKETS) {
            past.removeLast();
        }
        if (past.size() > MOST_SEGMENTS) {
            past.removeFirst();
        }
        present = segment;
    }

    /** The demand of a mix that goes on moves only once it was counted for some seconds: few counts are mostly noise. */
    private Segment continued(Segment segment) {
        double lasted = segment.firstBucket() - present.firstBucket() + segment.seconds();
        Segment counted = segment.seconds() < SETTLED_SECONDS ? present : segment;
        return new Segment(present.firstBucket(), lasted, counted.countedSeconds(), counted.demands(), counted.ideal());
    }

    Segment present() {
        return present;
    }

    /** Returns the mixes before the present one, oldest first. */
    List<Segment> past() {
        return List.copyOf(past);
    }

    /** Says whether mixes usually end before so many seconds. */
    boolean isShorterThan(double seconds) {
        return past.size() > 1 && usualSeconds() < seconds;
    }

    /** Returns over how many seconds mixes have been seen. */
    double seenSeconds() {
        double seen = present.seconds();
        for (Segment segment : past) {
            seen += segment.seconds();
        }
        return seen;
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
