package org.aspenmoor.internal.gateway.settings;

import java.time.Duration;
import java.util.Optional;

/**
 * The times within which a change that the store has accepted must be in force at every entry; empty where the settings
 * state none, in which case each entry follows the store by itself.
 *
 * @param configuration the bound for a new configuration
 * @param servers the bound for a server that leaves
 */
public record StoreBounds(Optional<Duration> configuration, Optional<Duration> servers) {
    /** No bounds are stated. */
    public static final StoreBounds NONE = new StoreBounds(Optional.empty(), Optional.empty());

    /** Returns the bound for a server that leaves; zero if the settings state none. */
    public Duration serversOrZero() {
        return servers.orElse(Duration.ZERO);
    }
}
