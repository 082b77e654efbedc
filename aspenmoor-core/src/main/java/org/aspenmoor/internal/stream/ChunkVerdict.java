package org.aspenmoor.internal.stream;

/** What becomes of a chunk that arrived. */
public sealed interface ChunkVerdict {
    /** It is the next piece of the answer: give it to the caller. */
    record Deliver() implements ChunkVerdict {}

    /**
     * It belongs to another attempt or was here before: drop it.
     *
     * @param reason why
     */
    record Discard(DiscardReason reason) implements ChunkVerdict {}

    /**
     * Something before it is missing: the attempt cannot become whole.
     *
     * @param detail what is missing
     */
    record Broken(String detail) implements ChunkVerdict {}
}
