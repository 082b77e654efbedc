package org.aspenmoor.internal.serving.speed;

import java.time.Duration;

/** A geometric average of slowdowns in which older answers count less; times are nanoseconds of the monotonic clock. */
final class SlowdownAverage {
    /**
     * Half-life of an answer. The speed of a host lasts for minutes; some seconds of answers of all entries together
     * are enough to know it.
     */
    private static final double HALF_LIFE_NANOSECONDS = Duration.ofSeconds(10).toNanos();

    private double answers;
    private double logarithmSum;
    private long updatedAt;

    /** Adds answers with an average slowdown. */
    void add(double factor, double addedAnswers, long now) {
        double kept = decay(now - updatedAt);
        answers = Math.max(0, answers * kept + addedAnswers);
        logarithmSum = logarithmSum * kept + addedAnswers * Math.log(factor);
        updatedAt = now;
    }

    /** Removes answers that were added before. */
    void remove(double factor, double addedAnswers, long addedAt, long now) {
        add(factor, -addedAnswers * decay(now - addedAt), now);
    }

    /** Removes everything. */
    void clear() {
        answers = 0;
        logarithmSum = 0;
    }

    /** Returns the number of answers in the average, less what has decayed. */
    double answers(long now) {
        return answers * decay(now - updatedAt);
    }

    /** Returns the sum of the logarithms of the slowdowns, each weighted as in {@link #answers}. */
    double logarithmSum(long now) {
        return logarithmSum * decay(now - updatedAt);
    }

    /** Returns the part of an answer that still counts after a time. */
    static double decay(long ageNanoseconds) {
        return Math.pow(0.5, Math.max(0, ageNanoseconds) / HALF_LIFE_NANOSECONDS);
    }
}
