package org.aspenmoor.internal.serving.share;

/**
 * The shares of one service as this entry sees them; rates are in work per second over all entries.
 *
 * @param service the service
 * @param limiting whether organisations are limited, or were within the last seconds
 * @param allowedPerSecond what all organisations together are allowed; infinite if nothing is limited
 * @param requestedPerSecond what they demand
 * @param completedPerSecond what is completed
 * @param turnedAwayPerSecond what is admitted and then refused because no server has room
 * @param demands the number of organisations with recent demand, counted once for each priority
 */
public record ShareSummary(
        String service,
        boolean limiting,
        double allowedPerSecond,
        double requestedPerSecond,
        double completedPerSecond,
        double turnedAwayPerSecond,
        int demands) {}
