package org.aspenmoor.internal.document;

import java.time.Instant;
import java.util.List;

/**
 * The record of how a revision of a document was accepted.
 *
 * @param operator the operator who accepted it
 * @param acceptedAt the time by the clock of the entry that wrote it
 * @param nonce a value drawn for each acceptance; distinguishes the written object from one with equal content that
 *     another acceptance wrote
 * @param changes what it changed, one sentence each
 */
public record Acceptance(String operator, Instant acceptedAt, String nonce, List<String> changes) {
    public Acceptance {
        changes = List.copyOf(changes);
    }
}
