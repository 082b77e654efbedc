package org.aspenmoor.internal.serving;

import java.time.Duration;
import org.aspenmoor.internal.time.TimeSource;

/**
 * This entry's part of the repeated arrivals that all entries together may cause at one service.
 *
 * <p>When engines fail or are full, repeating every request multiplies the load on those that are left and nothing
 * recovers. One would see arrivals grow while answers fall. All entries share one bound without asking each other: a
 * share of the requests each sees itself, plus an even part of the fixed slack. With too high a number of entries
 * assumed, less is repeated than allowed; with one too low, the fixed part is exceeded by that factor at most, against
 * which {@link #SAFETY_SHARE} stands.
 */
public final class RepeatAllowance {
    /** Part of the bound that is used; the rest covers uneven callers and a number of entries that lags behind. */
    static final double SAFETY_SHARE = 0.6;

    private static final int BUCKETS = 10;

    private final TimeSource time;
    private final double ratio;
    private final double slack;
    private final long bucketNanoseconds;
    private final int[] requests = new int[BUCKETS];
    private final int[] repeats = new int[BUCKETS];
    private long current;

    /**
     * Makes an allowance.
     *
     * @param time the clock
     * @param ratio repeats for each request, over all entries
     * @param slack repeats in each window beyond that, over all entries
     * @param window how far back requests and repeats count
     */
    public RepeatAllowance(TimeSource time, double ratio, double slack, Duration window) {
        this.time = time;
        this.ratio = ratio;
        this.slack = slack;
        this.bucketNanoseconds = window.toNanos() / BUCKETS;
        this.current = time.monotonicNanos() / bucketNanoseconds;
    }

    /** Notes a request for the service. */
    public void requested() {
        roll();
        requests[index(current)]++;
    }

    /** Takes one repeat, given how many entries share the slack. */
    public boolean take(int entries) {
        roll();
        double allowed = SAFETY_SHARE * (ratio * sum(requests) + slack / Math.max(1, entries));
        if (sum(repeats) + 1 > allowed) {
            return false;
        }
        repeats[index(current)]++;
        return true;
    }

    private void roll() {
        long now = time.monotonicNanos() / bucketNanoseconds;
        long steps = Math.min(BUCKETS, now - current);
        for (long step = 1; step <= steps; step++) {
            requests[index(current + step)] = 0;
            repeats[index(current + step)] = 0;
        }
        current = now;
    }

    private static int index(long bucket) {
        return (int) Math.floorMod(bucket, (long) BUCKETS);
    }

    private static int sum(int[] counts) {
        int total = 0;
        for (int count : counts) {
            total += count;
        }
        return total;
    }
}
