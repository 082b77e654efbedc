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
 *
 * <p>A process that has just started does not know how many retries an earlier one has made within the same window. If
 * it had the whole allowance, all entries together would exceed the bound after each restart of all. In its first
 * window it therefore uses only the part that the earlier process left, and most of its slack becomes available over
 * time, because processes may be restarted several times within a window.
 */
public final class RetryAllowance {
    /**
     * Fraction of the bound that is used; the rest covers unevenly distributed callers and an outdated number of
     * entries.
     */
    static final double SAFETY_FACTOR = 0.6;

    /** Fraction of the bound that is used in the first window after the start. */
    static final double INITIAL_FACTOR = 1 - SAFETY_FACTOR;

    /** Fraction of the slack that is available at the start, so that a failure of the first requests can be retried. */
    private static final double SLACK_AT_START = 0.1;

    private static final double OPTIONAL_FRACTION = 0.5;
    private static final int BUCKETS = 10;

    private final TimeSource time;
    private final double ratio;
    private final double slack;
    private final long windowNanoseconds;
    private final long bucketNanoseconds;
    private final long startedAt;
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
     * @param startedAt since when retries are counted, in nanoseconds of the monotonic clock
     */
    public RetryAllowance(TimeSource time, double ratio, double slack, Duration window, long startedAt) {
        this.time = time;
        this.ratio = ratio;
        this.slack = slack;
        this.windowNanoseconds = window.toNanos();
        this.bucketNanoseconds = windowNanoseconds / BUCKETS;
        this.startedAt = startedAt;
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
        if (sum(retries) + 1 > fraction * maxRetries(slack / Math.max(1, entries))) {
            return false;
        }
        retries[index(currentBucket)]++;
        return true;
    }

    private double maxRetries(double ownSlack) {
        double perRequests = ratio * sum(requests);
        long age = time.monotonicNanos() - startedAt;
        if (age >= windowNanoseconds) {
            return SAFETY_FACTOR * (perRequests + ownSlack);
        }
        double availableFraction = SLACK_AT_START + (1 - SLACK_AT_START) * age / windowNanoseconds;
        return INITIAL_FACTOR * (perRequests + ownSlack * availableFraction);
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
