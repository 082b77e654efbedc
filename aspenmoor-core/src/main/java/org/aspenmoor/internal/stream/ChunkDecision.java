package org.aspenmoor.internal.stream;

/** The decision on a received chunk. */
public sealed interface ChunkDecision {
    /** The chunk is the next part of the answer: deliver it to the caller. */
    record Deliver() implements ChunkDecision {}

    /**
     * The chunk must not be delivered, for example because it belongs to another attempt or is a duplicate.
     *
     * @param reason why it is discarded
     */
    record Discard(DiscardReason reason) implements ChunkDecision {}

    /**
     * An earlier chunk is missing: the attempt cannot be completed.
     *
     * @param detail which chunk is missing
     */
    record Broken(String detail) implements ChunkDecision {}
}
