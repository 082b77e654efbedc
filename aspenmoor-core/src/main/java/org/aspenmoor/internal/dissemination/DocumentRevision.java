package org.aspenmoor.internal.dissemination;

/**
 * One accepted revision of a document, with its unparsed content.
 *
 * @param key which document
 * @param revision its revision, counted up by one with every accepted change
 * @param content the JSON text; empty where the document was withdrawn
 */
public record DocumentRevision(DocumentKey key, long revision, String content) {
    /** Returns the line that stands for this document in a digest. */
    public RevisionSummary summary() {
        return new RevisionSummary(key, revision, StableHash.of(content));
    }
}
