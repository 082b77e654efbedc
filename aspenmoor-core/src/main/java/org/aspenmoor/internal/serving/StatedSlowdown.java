package org.aspenmoor.internal.serving;

import java.time.Duration;

/**
 * How long work takes at a server, as the server stated it with an answer.
 *
 * @param factor the duration of work as a multiple of its usual duration at this server
 * @param age time since the answer was received
 */
public record StatedSlowdown(double factor, Duration age) {}
