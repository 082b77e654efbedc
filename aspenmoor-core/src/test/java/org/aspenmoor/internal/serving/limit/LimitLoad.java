package org.aspenmoor.internal.serving.limit;

import java.time.Duration;
import java.util.List;

/**
 * The callers of a simulation.
 *
 * @param callersPerSecond callers at all entries together
 * @param skew how unevenly callers are spread over the entries: 1 is evenly, a high number is all at the first
 * @param answerDurations how long answers take; each request draws one
 */
record LimitLoad(double callersPerSecond, double skew, List<Duration> answerDurations) {
    private static final Duration SHORT = Duration.ofMillis(25);

    /** Returns callers spread evenly, with short answers. */
    static LimitLoad evenly(double callersPerSecond) {
        return skewed(callersPerSecond, 1);
    }

    static LimitLoad skewed(double callersPerSecond, double skew) {
        return new LimitLoad(callersPerSecond, skew, List.of(SHORT));
    }

    LimitLoad withAnswers(Duration... durations) {
        return new LimitLoad(callersPerSecond, skew, List.of(durations));
    }
}
