package org.aspenmoor.internal.dissemination;

/**
 * A document as digests name it.
 *
 * @param key which document
 * @param revision the revision that the sender has
 * @param contentHash a hash of that revision's content
 */
public record RevisionSummary(DocumentKey key, long revision, long contentHash) {
    /**
     * Says whether this line replaces the other.
     *
     * <p>Two contents under one revision mean that the store lost a write that was already in force. Without an order
     * between them two processes would keep serving differently and no digest would ever settle it, so the content hash
     * decides, alike everywhere.
     */
    public boolean isNewerThan(RevisionSummary other) {
        if (revision != other.revision) {
            return revision > other.revision;
        }
        return Long.compareUnsigned(contentHash, other.contentHash) > 0;
    }

    /** Returns this line's part of a bucket's hash. */
    long digestHash() {
        return StableHash.combine(StableHash.combine(key.stableHash(), revision), contentHash);
    }
}
