package org.aspenmoor.internal.gateway.settings;

import java.time.Duration;

/**
 * Limits on the retries that all entries together send to one service.
 *
 * @param ratio the allowed number of retries per request
 * @param slack the number of retries allowed in each window in addition to the ratio
 * @param window the period of time over which requests and retries are counted
 * @param assumedEntries the number of entries among which the limits are divided until the entries have discovered
 *     each other
 */
public record RetrySettings(double ratio, double slack, Duration window, int assumedEntries) {}
