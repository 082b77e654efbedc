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
    record Update(KnownDocument document) implements DisseminationMessage {}

    /**
     * Asks for a document if the receiver has a newer revision.
     *
     * @param key which document
     * @param revision the revision the sender has; 0 for none
     */
    record Ask(DocumentKey key, long revision) implements DisseminationMessage {}

    /**
     * Asks whether both tables are equal.
     *
     * @param number repeated in the answer
     * @param rootHash the hash over the sender's table
     */
    record Compare(long number, long rootHash) implements DisseminationMessage {}

    /**
     * Answers that both tables were equal.
     *
     * @param number that of the question
     * @param confirmedAge how long ago the sender's table was known to hold everything accepted; empty for never
     */
    record Equal(long number, Optional<Duration> confirmedAge) implements DisseminationMessage {}

    /**
     * Answers that the tables differ.
     *
     * @param number that of the question
     * @param bucketHashes the hash of each bucket of the sender's table
     */
    record Differs(long number, List<Long> bucketHashes) implements DisseminationMessage {
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
    record BucketLines(List<Integer> buckets, List<RevisionLine> lines) implements DisseminationMessage {
        public BucketLines {
            buckets = List.copyOf(buckets);
            lines = List.copyOf(lines);
        }
    }

    /**
     * Names documents that the sender has in a newer revision than the receiver had.
     *
     * @param lines the sender's lines
     */
    record NewerLines(List<RevisionLine> lines) implements DisseminationMessage {
        public NewerLines {
            lines = List.copyOf(lines);
        }
    }
}
