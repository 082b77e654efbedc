package org.aspenmoor.internal.dissemination;

/**
 * One accepted revision of a document, with its unparsed content.
 *
 * @param key the document
 * @param revision the revision number, incremented by one with every accepted change
 * @param content the JSON text; empty if the document was withdrawn
 */
public record DocumentRevision(DocumentKey key, long revision, String content) {
    /** Returns the summary that represents this revision in comparisons. */
    public RevisionSummary summary() {
        return new RevisionSummary(key, revision, StableHash.of(content));
    }
}
