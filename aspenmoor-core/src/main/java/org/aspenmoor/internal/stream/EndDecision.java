package org.aspenmoor.internal.stream;

/** The decision on the last frame of an attempt. */
public sealed interface EndDecision {
    /** Count and checksum match: the answer is complete. */
    record Complete() implements EndDecision {}

    /**
     * The frame belongs to another attempt, or the answer has already ended.
     *
     * @param reason why it is discarded
     */
    record Discard(DiscardReason reason) implements EndDecision {}

    /**
     * The count or the checksum does not match.
     *
     * @param detail what does not match
     */
    record Broken(String detail) implements EndDecision {}
}
