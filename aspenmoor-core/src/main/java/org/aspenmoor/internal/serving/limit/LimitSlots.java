package org.aspenmoor.internal.serving.limit;

/**
 * How the limit of a server is divided: into slots, each of which one entry uses at a time. Their number depends on the
 * limit alone, so that all entries divide it in the same way.
 *
 * @param count number of slots
 * @param requestsPerSecond what may be sent with one slot, in requests per second
 * @param reserve how many requests may be saved up with one slot
 */
record LimitSlots(int count, double requestsPerSecond, double reserve) {
    /** Part of the limit that is used; the rest covers calls that are made without a slot. */
    private static final double USED_FRACTION = 0.95;

    /**
     * Minimum rate of requests to a limited server, per second and for all entries together. Without any request, no
     * entry would learn that the limit has ended.
     */
    private static final double MIN_REQUESTS_PER_SECOND = 0.25;

    /** Period in which a server tolerates a burst beyond its limit, in seconds. */
    private static final double BURST_SECONDS = 4;

    /** Requests that a server tolerates within that period, as a multiple of the limit. */
    private static final double BURST_FACTOR = 1.5;

    /** Requests that a server tolerates within that period in addition. */
    private static final double BURST_REQUESTS = 5;

    /** Part of the tolerated requests that slots are planned for; the rest covers calls that are made without a slot. */
    private static final double PLANNED_FRACTION = 0.9;

    /** With a reserve of one request, an entry loses much of its rate whenever callers come unevenly. */
    private static final double MIN_RESERVE = 2;

    /** Reserve up to which a slot takes what the server tolerates, at low rates. */
    private static final double MAX_RESERVE = 3;

    /** Time for which requests are saved up at rates at which that is more, in seconds. */
    private static final double RESERVE_SECONDS = 0.25;

    /** Entries rank each other for each slot, which takes time. */
    private static final int MAX_COUNT = 64;

    /** Divides a limit in requests per second. */
    static LimitSlots of(double limit) {
        double total = Math.max(USED_FRACTION * limit, MIN_REQUESTS_PER_SECOND);
        double tolerated = BURST_FACTOR * BURST_SECONDS * limit + BURST_REQUESTS;
        double reserves = PLANNED_FRACTION * tolerated - BURST_SECONDS * total;
        int count = (int) Math.clamp(reserves / MIN_RESERVE, 1, MAX_COUNT);
        double perSlot = total / count;
        double wanted = Math.max(MAX_RESERVE, RESERVE_SECONDS * perSlot);
        return new LimitSlots(count, perSlot, Math.min(wanted, reserves / count));
    }
}
