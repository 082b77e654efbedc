package org.aspenmoor.internal.document;

import java.time.Instant;
import java.util.List;

/**
 * How a revision of a document came to be accepted.
 *
 * @param operator the operator who accepted it
 * @param acceptedAt the time of day of the entry that wrote it
 * @param nonce drawn for this one acceptance; tells its writer's object from an equal one of somebody else
 * @param changes what it changed, one sentence each
 */
public record Acceptance(String operator, Instant acceptedAt, String nonce, List<String> changes) {
    public Acceptance {
        changes = List.copyOf(changes);
    }
}
