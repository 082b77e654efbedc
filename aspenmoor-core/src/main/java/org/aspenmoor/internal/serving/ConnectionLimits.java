package org.aspenmoor.internal.serving;

import java.time.Duration;

/**
 * Limits on what a caller's connection may send and how slowly.
 *
 * @param maxHeaderBytes the maximum size of a request's header section
 * @param maxBodyBytes the maximum size of a request's body
 * @param headerTimeout how long the header section may take to arrive
 * @param idleTimeout how long a connection may stay open between requests
 */
public record ConnectionLimits(int maxHeaderBytes, int maxBodyBytes, Duration headerTimeout, Duration idleTimeout) {
    private static final int KIBIBYTE = 1024;

    /** Returns the limits used until a configuration is known; they are those of common HTTP servers. */
    public static ConnectionLimits defaults() {
        return new ConnectionLimits(
                16 * KIBIBYTE, 4 * KIBIBYTE * KIBIBYTE, Duration.ofSeconds(5), Duration.ofSeconds(15));
    }
}
