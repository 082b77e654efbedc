package org.aspenmoor.internal.routing;

import java.util.List;

/** What an engine says about its prefix cache. */
public sealed interface CacheEvent {
    /**
     * Pieces were stored.
     *
     * @param hashes their chain hashes
     */
    record Stored(List<Long> hashes) implements CacheEvent {
        public Stored {
            hashes = List.copyOf(hashes);
        }
    }

    /**
     * Pieces were dropped.
     *
     * @param hashes their chain hashes
     */
    record Removed(List<Long> hashes) implements CacheEvent {
        public Removed {
            hashes = List.copyOf(hashes);
        }
    }

    /** The whole cache was dropped. */
    record Cleared() implements CacheEvent {}
}
