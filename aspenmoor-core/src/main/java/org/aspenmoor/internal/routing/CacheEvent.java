package org.aspenmoor.internal.routing;

import java.util.List;

/** A change of the prefix cache that an engine reports. */
public sealed interface CacheEvent {
    /**
     * Blocks were stored.
     *
     * @param hashes the chain hashes of the blocks
     */
    record Stored(List<Long> hashes) implements CacheEvent {
        public Stored {
            hashes = List.copyOf(hashes);
        }
    }

    /**
     * Blocks were removed.
     *
     * @param hashes the chain hashes of the blocks
     */
    record Removed(List<Long> hashes) implements CacheEvent {
        public Removed {
            hashes = List.copyOf(hashes);
        }
    }

    /** All blocks were removed. */
    record Cleared() implements CacheEvent {}
}
