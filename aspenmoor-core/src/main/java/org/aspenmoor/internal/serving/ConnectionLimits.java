package org.aspenmoor.internal.serving;

import java.time.Duration;

/**
 * What a caller's connection may send and how slowly.
 *
 * @param mostHeaderBytes the size of a request's head
 * @param mostBodyBytes the size of a request's body
 * @param headerTimeout how long a head may take to arrive
 * @param idleTimeout how long a connection may stay open between requests
 */
public record ConnectionLimits(int maxHeaderBytes, int maxBodyBytes, Duration headerTimeout, Duration idleTimeout) {
    private static final int KIBIBYTE = 1024;

    /** Returns limits for the time in which no configuration is known: those of the usual HTTP servers. */
    public static ConnectionLimits defaults() {
        return new ConnectionLimits(
                16 * KIBIBYTE, 4 * KIBIBYTE * KIBIBYTE, Duration.ofSeconds(5), Duration.ofSeconds(15));
    }
}
