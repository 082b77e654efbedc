package org.aspenmoor.internal.dissemination;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

/** A message by which processes exchange documents. */
public sealed interface DisseminationMessage {
    /**
     * A document, pushed because it is new or sent because it was requested.
     *
     * @param document the document
     */
    record Update(DocumentRevision document) implements DisseminationMessage {}

    /**
     * Requests a document if the receiver has a newer revision.
     *
     * @param key the document
     * @param revision the revision that the sender holds; 0 for none
     */
    record FetchRequest(DocumentKey key, long revision) implements DisseminationMessage {}

    /**
     * Asks whether the sender and the receiver hold the same revisions.
     *
     * @param comparisonId identifies the comparison; the answer repeats it
     * @param rootHash the hash over the sender's table
     */
    record Compare(long comparisonId, long rootHash) implements DisseminationMessage {}

    /**
     * Answers a comparison: both tables are equal.
     *
     * @param comparisonId the id of the comparison
     * @param confirmedAge the time since the sender was last confirmed to hold every accepted document; empty if never
     */
    record Equal(long comparisonId, Optional<Duration> confirmedAge) implements DisseminationMessage {}

    /**
     * Answers a comparison: the tables differ.
     *
     * @param comparisonId the id of the comparison
     * @param bucketHashes the hash of each bucket of the sender's table
     */
    record Differs(long comparisonId, List<Long> bucketHashes) implements DisseminationMessage {
        public Differs {
            bucketHashes = List.copyOf(bucketHashes);
        }
    }

    /**
     * Lists all revisions of some buckets and requests a list of those that the receiver holds in a newer revision.
     *
     * @param buckets the indices of the buckets
     * @param revisions all revisions that the sender holds in these buckets
     */
    record BucketRevisions(List<Integer> buckets, List<RevisionSummary> revisions) implements DisseminationMessage {
        public BucketRevisions {
            buckets = List.copyOf(buckets);
            revisions = List.copyOf(revisions);
        }
    }

    /**
     * Lists documents that the sender holds in a newer revision than the receiver reported.
     *
     * @param revisions the revisions that the sender holds
     */
    record NewerRevisions(List<RevisionSummary> revisions) implements DisseminationMessage {
        public NewerRevisions {
            revisions = List.copyOf(revisions);
        }
    }
}
