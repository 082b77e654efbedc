package org.aspenmoor.internal.gateway.peers;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.Set;
import org.aspenmoor.internal.serving.origin.StreamOrigin;

/**
 * The registration of an entry.
 *
 * @param address where the entry receives reports
 * @param renewedAt when it was last renewed, by the entry's wall clock; the epoch if that is not known
 * @param origins where the entry may have begun streams that callers still take up
 */
record EntryRegistration(InetSocketAddress address, Instant renewedAt, Set<StreamOrigin> origins) {
    EntryRegistration {
        origins = Set.copyOf(origins);
    }

    /** Returns whether the registration was renewed less than the given time ago, by a clock that may have jumped. */
    boolean renewedWithin(Duration span, Instant now) {
        return Duration.between(renewedAt, now).abs().compareTo(span) < 0;
    }
}
