package org.aspenmoor.internal.serving.origin;

import java.util.Map;

/**
 * What all entries state in their registrations.
 *
 * @param statements the statements by the names of the entries, including this one
 * @param requestedAt when the registrations were requested from the store, in nanoseconds of the monotonic clock
 */
public record OriginListing(Map<String, OriginStatement> statements, long requestedAt) {
    public OriginListing {
        statements = Map.copyOf(statements);
    }
}
