package org.aspenmoor.internal.serving.entries;

import java.util.Map;
import java.util.Optional;

/**
 * The registrations of all entries, as read from the store. Times are nanoseconds of the monotonic clock.
 *
 * @param versions the version of each entry's registration, by entry name; each renewal changes it
 * @param renewedAt when this entry's own registration was last renewed, or before
 * @param joinedAt when this entry registered beside others that did not know of it; empty if they do
 */
public record EntryListing(Map<String, String> versions, long renewedAt, Optional<Long> joinedAt) {
    public EntryListing {
        versions = Map.copyOf(versions);
    }
}
