package org.aspenmoor.internal.dissemination;

/**
 * A revision of a document without its content, as exchanged in comparisons.
 *
 * @param key the document
 * @param revision the revision number
 * @param contentHash a hash of the content of this revision
 */
public record RevisionSummary(DocumentKey key, long revision, long contentHash) {
    /**
     * Returns whether this revision replaces the other.
     *
     * <p>Two contents with the same revision number mean that the store lost a write that was already in force. Without
     * an order between them, two processes would keep serving by different documents, and no comparison would resolve
     * the difference. Therefore the content hash decides, with the same result in every process.
     */
    public boolean isNewerThan(RevisionSummary other) {
        if (revision != other.revision) {
            return revision > other.revision;
        }
        return Long.compareUnsigned(contentHash, other.contentHash) > 0;
    }

    /** Returns the contribution of this revision to the hash of its bucket. */
    long digestHash() {
        return StableHash.combine(StableHash.combine(key.stableHash(), revision), contentHash);
    }
}
