package org.aspenmoor.internal.gateway.settings;

import java.time.Duration;

/**
 * Limits on the repeated attempts that all entries together send to one service.
 *
 * @param ratio the allowed number of repeats per request
 * @param slack the number of repeats allowed in each window in addition to the ratio
 * @param window the period of time over which requests and repeats are counted
 * @param assumedEntries the number of entries among which the limits are divided until the entries have discovered
 *     each other
 */
public record RepeatSettings(double ratio, double slack, Duration window, int assumedEntries) {}
