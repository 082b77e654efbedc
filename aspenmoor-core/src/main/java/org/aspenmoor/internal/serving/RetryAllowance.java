package org.aspenmoor.internal.serving;

import java.time.Duration;
import org.aspenmoor.internal.time.TimeSource;

/**
 * This entry's part of the retries that all entries together may cause at one service.
 *
 * <p>If engines fail or are full, retrying every request multiplies the load on the remaining ones, and the service
 * does not recover: arrivals grow while the number of answers falls. All entries share one bound without coordination.
 * Each may make a number of retries that is a fraction of the requests it receives itself, plus an equal part of the
 * fixed slack. If the assumed number of entries is too high, fewer retries are made than allowed; if it is too low, the
 * fixed part is exceeded by at most that factor, for which {@link #SAFETY_FACTOR} leaves a margin.
 */
public final class RetryAllowance {
    /**
     * Fraction of the bound that is used; the rest covers unevenly distributed callers and an outdated number of
     * entries.
     */
    static final double SAFETY_FACTOR = 0.6;

    private static final double OPTIONAL_FRACTION = 0.5;
    private static final int BUCKETS = 10;

    private final TimeSource time;
    private final double ratio;
    private final double slack;
    private final long bucketNanoseconds;
    private final int[] requests = new int[BUCKETS];
    private final int[] retries = new int[BUCKETS];
    private long currentBucket;

    /**
     * Creates an allowance.
     *
     * @param time the clock
     * @param ratio retries per request, over all entries
     * @param slack additional retries per window, over all entries
     * @param window how long requests and retries count
     */
    public RetryAllowance(TimeSource time, double ratio, double slack, Duration window) {
        this.time = time;
        this.ratio = ratio;
        this.slack = slack;
        this.bucketNanoseconds = window.toNanos() / BUCKETS;
        this.currentBucket = time.monotonicNanos() / bucketNanoseconds;
    }

    /** Records a request to the service. */
    public void recordRequest() {
        advance();
        requests[index(currentBucket)]++;
    }

    /**
     * Takes one retry from the allowance and returns true, or returns false if the allowance is used up.
     *
     * @param entries how many entries share the slack
     */
    public boolean tryTakeRetry(int entries) {
        return tryTake(entries, 1);
    }

    /**
     * Takes one retry for a request that might succeed without it. Only half of the allowance serves such requests, so
     * that it lasts for those that have failed.
     *
     * @param entries how many entries share the slack
     */
    public boolean tryTakeOptionalRetry(int entries) {
        return tryTake(entries, OPTIONAL_FRACTION);
    }

    private boolean tryTake(int entries, double fraction) {
        advance();
        double maxRetries = fraction * SAFETY_FACTOR * (ratio * sum(requests) + slack / Math.max(1, entries));
        if (sum(retries) + 1 > maxRetries) {
            return false;
        }
        retries[index(currentBucket)]++;
        return true;
    }

    private void advance() {
        long now = time.monotonicNanos() / bucketNanoseconds;
        long steps = Math.min(BUCKETS, now - currentBucket);
        for (long step = 1; step <= steps; step++) {
            requests[index(currentBucket + step)] = 0;
            retries[index(currentBucket + step)] = 0;
        }
        currentBucket = now;
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
