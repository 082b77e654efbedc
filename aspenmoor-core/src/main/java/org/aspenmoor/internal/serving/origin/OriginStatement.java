package org.aspenmoor.internal.serving.origin;

import java.time.Duration;
import java.util.Set;

/**
 * What an entry states in its registration of the streams that it may have begun.
 *
 * @param origins all origins that these streams may have
 * @param age time since the registration was renewed, by a clock that may have jumped
 */
public record OriginStatement(Set<StreamOrigin> origins, Duration age) {
    /** Longer than outages of the store, in which entries go on and cannot renew their registrations. */
    public static final Duration RETENTION = Duration.ofHours(1);

    public OriginStatement {
        origins = Set.copyOf(origins);
    }
}
