package org.aspenmoor.internal.serving.stop;

import java.time.Duration;
import java.util.Optional;

/**
 * How long the answers of one route took recently: a histogram of the last 30 to 60 seconds, whose classes grow by a
 * tenth.
 */
final class AnswerTimes {
    private static final long SPAN_NANOSECONDS = Duration.ofSeconds(30).toNanos();

    /** With fewer answers, the longest of them says little about the next one. */
    private static final int MIN_ANSWERS = 20;

    /** Of a hundred answers, this many took no longer than the result. */
    private static final int PERCENT = 99;

    private static final int MAX_PERCENT = 100;
    private static final double SHORTEST_SECONDS = 0.001;
    private static final double GROWTH = 1.1;

    /** Up to about four minutes. */
    private static final int CLASSES = 130;

    private static final double NANOSECONDS_PER_SECOND = 1e9;

    private int[] current = new int[CLASSES];
    private int[] previous = new int[CLASSES];
    private long spanStart;

    AnswerTimes(long now) {
        this.spanStart = now;
    }

    void add(Duration taken, long now) {
        rotate(now);
        current[classOf(taken)]++;
    }

    /** Returns whether no answer has ended recently. */
    boolean isEmpty(long now) {
        rotate(now);
        return count() == 0;
    }

    /** Returns a time that few answers exceed; empty if there were too few to know. */
    Optional<Duration> high(long now) {
        rotate(now);
        int total = count();
        if (total < MIN_ANSWERS) {
            return Optional.empty();
        }
        long longer = (long) total * (MAX_PERCENT - PERCENT) / MAX_PERCENT;
        int longest = CLASSES - 1;
        for (long seen = inClass(longest); seen <= longer; seen += inClass(longest)) {
            longest--;
        }
        return Optional.of(upperEnd(longest));
    }

    private int count() {
        int total = 0;
        for (int each = 0; each < CLASSES; each++) {
            total += inClass(each);
        }
        return total;
    }

    private int inClass(int each) {
        return current[each] + previous[each];
    }

    private static int classOf(Duration taken) {
        double seconds = taken.toNanos() / NANOSECONDS_PER_SECOND;
        double steps = Math.log(Math.max(1, seconds / SHORTEST_SECONDS)) / Math.log(GROWTH);
        return (int) Math.min(CLASSES - 1, Math.ceil(steps));
    }

    private static Duration upperEnd(int each) {
        return Duration.ofNanos((long) (SHORTEST_SECONDS * Math.pow(GROWTH, each) * NANOSECONDS_PER_SECOND));
    }

    private void rotate(long now) {
        long spans = (now - spanStart) / SPAN_NANOSECONDS;
        if (spans <= 0) {
            return;
        }
        previous = spans == 1 ? current : new int[CLASSES];
        current = new int[CLASSES];
        spanStart += spans * SPAN_NANOSECONDS;
    }
}
