package org.aspenmoor.internal.gateway.settings;

import java.time.Duration;

/**
 * How many repeats all entries together may send to one service.
 *
 * @param ratio repeats for each request
 * @param slack repeats in each window beyond that
 * @param window how far back requests and repeats count
 * @param assumedEntries how many entries share this until they have found each other
 */
public record RepeatSettings(double ratio, double slack, Duration window, int assumedEntries) {}
