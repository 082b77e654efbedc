package org.aspenmoor.internal.dissemination;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

/** What processes tell each other about documents. */
public sealed interface DisseminationMessage {
    /**
     * A document, pushed because it is new or sent because it was asked for.
     *
     * @param document the document
     */
    record Update(DocumentRevision document) implements DisseminationMessage {}

    /**
     * Asks for a document if the receiver has a newer revision.
     *
     * @param key which document
     * @param revision the revision the sender has; 0 for none
     */
    record FetchRequest(DocumentKey key, long revision) implements DisseminationMessage {}

    /**
     * Asks whether both tables are equal.
     *
     * @param number repeated in the answer
     * @param rootHash the hash over the sender's table
     */
    record Compare(long comparisonId, long rootHash) implements DisseminationMessage {}

    /**
     * Answers that both tables were equal.
     *
     * @param number that of the question
     * @param confirmedAge how long ago the sender's table was known to hold everything accepted; empty for never
     */
    record Equal(long comparisonId, Optional<Duration> confirmedAge) implements DisseminationMessage {}

    /**
     * Answers that the tables differ.
     *
     * @param number that of the question
     * @param bucketHashes the hash of each bucket of the sender's table
     */
    record Differs(long comparisonId, List<Long> bucketHashes) implements DisseminationMessage {
        public Differs {
            bucketHashes = List.copyOf(bucketHashes);
        }
    }

    /**
     * Gives all lines of some buckets and asks for what the receiver has newer.
     *
     * @param buckets the buckets
     * @param lines the sender's lines in them
     */
    record BucketRevisions(List<Integer> buckets, List<RevisionSummary> revisions) implements DisseminationMessage {
        public BucketRevisions {
            buckets = List.copyOf(buckets);
            revisions = List.copyOf(revisions);
        }
    }

    /**
     * Names documents that the sender has in a newer revision than the receiver had.
     *
     * @param lines the sender's lines
     */
    record NewerRevisions(List<RevisionSummary> revisions) implements DisseminationMessage {
        public NewerRevisions {
            revisions = List.copyOf(revisions);
        }
    }
}
