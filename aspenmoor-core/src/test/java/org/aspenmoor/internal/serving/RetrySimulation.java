package org.aspenmoor.internal.serving;

import java.time.Duration;
import java.util.Arrays;
import java.util.Random;
import java.util.Set;
import org.aspenmoor.internal.time.ManualTimeSource;

/**
 * Simulates, in steps of a tenth of a second, entries that share the retry budget of one service of which all engines
 * fail for a while, and that are killed and start again. Callers' requests are spread at random.
 */
final class RetrySimulation {
    private static final int STEPS_PER_SECOND = 10;
    private static final Duration STEP = Duration.ofMillis(100);
    private static final int LENGTH_SECONDS = 60;
    private static final int WINDOW_SECONDS = 10;
    private static final int WINDOW_STEPS = WINDOW_SECONDS * STEPS_PER_SECOND;
    private static final double RATIO = 0.2;
    private static final double SLACK = 108;
    private static final double REQUESTS_PER_SECOND = 57;
    private static final int MAX_RETRIES_PER_REQUEST = 3;

    private final ManualTimeSource time = new ManualTimeSource();
    private final Random random;
    private final RetryAllowance[] entries;
    private final Set<Double> killSeconds;
    private final double failingFromSecond;
    private final int[] requests = new int[LENGTH_SECONDS * STEPS_PER_SECOND];
    private final int[] retries = new int[LENGTH_SECONDS * STEPS_PER_SECOND];

    /**
     * Creates a simulation.
     *
     * @param killSeconds when all entries are killed and start again at once
     * @param failingFromSecond from when on all requests fail
     */
    RetrySimulation(int entryCount, Set<Double> killSeconds, double failingFromSecond, long seed) {
        this.random = new Random(seed);
        this.entries = new RetryAllowance[entryCount];
        this.killSeconds = killSeconds;
        this.failingFromSecond = failingFromSecond;
        startAll();
    }

    void run() {
        for (int step = 0; step < requests.length; step++) {
            double second = (double) step / STEPS_PER_SECOND;
            if (killSeconds.contains(second)) {
                startAll();
            }
            int arrivals = (int) Math.round(REQUESTS_PER_SECOND / STEPS_PER_SECOND + random.nextDouble() - 0.5);
            for (int arrival = 0; arrival < arrivals; arrival++) {
                arrive(step, second >= failingFromSecond);
            }
            time.advance(STEP);
        }
    }

    private void startAll() {
        for (int entry = 0; entry < entries.length; entry++) {
            entries[entry] =
                    new RetryAllowance(time, RATIO, SLACK, Duration.ofSeconds(WINDOW_SECONDS), time.monotonicNanos());
        }
    }

    private void arrive(int step, boolean fails) {
        RetryAllowance entry = entries[random.nextInt(entries.length)];
        entry.recordRequest();
        requests[step]++;
        for (int retry = 0; fails && retry < MAX_RETRIES_PER_REQUEST; retry++) {
            retries[step] += entry.tryTakeRetry(entries.length) ? 1 : 0;
        }
    }

    /** Returns the highest number of retries in any window, as a fraction of the shared bound of that window. */
    double highestUse() {
        double highest = 0;
        for (int start = 2 * WINDOW_STEPS; start + WINDOW_STEPS <= requests.length; start++) {
            int most = Math.max(
                    sum(requests, start),
                    Math.max(sum(requests, start - WINDOW_STEPS), sum(requests, start - WINDOW_STEPS / 2)));
            highest = Math.max(highest, sum(retries, start) / (RATIO * most + SLACK));
        }
        return highest;
    }

    private static int sum(int[] counts, int start) {
        return Arrays.stream(counts, start, start + WINDOW_STEPS).sum();
    }
}
