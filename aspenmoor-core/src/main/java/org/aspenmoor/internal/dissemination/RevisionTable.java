package org.aspenmoor.internal.dissemination;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** The newest known revision of each document; a revision is only replaced by a newer one. */
public final class RevisionTable {
    /** The number of buckets in the digest of a table. */
    public static final int BUCKETS = 64;

    private final Map<DocumentKey, KnownRevision> revisions = new HashMap<>();
    private final List<Map<DocumentKey, RevisionSummary>> summariesByBucket = new ArrayList<>();
    private final long[] bucketHashes = new long[BUCKETS];
    private long rootHash;
    private long contentConflicts;

    public RevisionTable() {
        for (int bucket = 0; bucket < BUCKETS; bucket++) {
            summariesByBucket.add(new HashMap<>());
        }
    }

    /** Stores the document if it is newer than the known revision; returns whether it was stored. */
    public boolean offer(DocumentRevision document) {
        RevisionSummary summary = document.summary();
        KnownRevision known = revisions.get(document.key());
        if (known != null && known.summary.revision() == summary.revision() && !known.summary.equals(summary)) {
            contentConflicts++;
        }
        if (known != null && !summary.isNewerThan(known.summary)) {
            return false;
        }
        if (known != null) {
            toggleInHashes(known.summary);
        }
        toggleInHashes(summary);
        revisions.put(document.key(), new KnownRevision(document, summary));
        summariesByBucket.get(bucketOf(document.key())).put(document.key(), summary);
        return true;
    }

    /** Returns the known revision of a document. */
    public Optional<DocumentRevision> find(DocumentKey key) {
        return Optional.ofNullable(revisions.get(key)).map(KnownRevision::document);
    }

    /** Returns the summary of the known revision of a document. */
    public Optional<RevisionSummary> findSummary(DocumentKey key) {
        return Optional.ofNullable(revisions.get(key)).map(KnownRevision::summary);
    }

    /** Returns the documents of which a revision is known. */
    public Set<DocumentKey> keys() {
        return Set.copyOf(revisions.keySet());
    }

    /** Returns whether the summary is newer than the known revision of its document. */
    public boolean isOutdatedBy(RevisionSummary summary) {
        KnownRevision known = revisions.get(summary.key());
        return known == null || summary.isNewerThan(known.summary);
    }

    /** Returns how many documents are known. */
    public int size() {
        return revisions.size();
    }

    /** Returns the hash over all known revisions; equal hashes mean equal tables. */
    public long rootHash() {
        return rootHash;
    }

    /** Returns the hash of each bucket. */
    public List<Long> bucketHashes() {
        List<Long> hashes = new ArrayList<>(BUCKETS);
        for (long hash : bucketHashes) {
            hashes.add(hash);
        }
        return hashes;
    }

    /** Returns the summaries of the documents in one bucket. */
    public Collection<RevisionSummary> summaries(int bucket) {
        return List.copyOf(summariesByBucket.get(bucket).values());
    }

    /** Returns how often different contents of one revision were received; not 0 if the store has lost a write. */
    public long contentConflicts() {
        return contentConflicts;
    }

    /** Returns the bucket that a document belongs to. */
    public static int bucketOf(DocumentKey key) {
        return (int) Long.remainderUnsigned(key.stableHash(), BUCKETS);
    }

    private void toggleInHashes(RevisionSummary summary) {
        long hash = summary.digestHash();
        bucketHashes[bucketOf(summary.key())] ^= hash;
        rootHash ^= hash;
    }

    private record KnownRevision(DocumentRevision document, RevisionSummary summary) {}
}
