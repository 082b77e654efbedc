package org.aspenmoor.internal.gateway.settings;

import java.net.InetSocketAddress;
import java.time.Duration;

/**
 * The settings of the duties that one entry performs for all.
 *
 * @param receiver the address that the calls are sent to
 * @param usage whether usage is counted and reported
 * @param usageWindow the length of a window of usage
 */
public record DutySettings(InetSocketAddress receiver, boolean usage, Duration usageWindow) {}
