package org.aspenmoor.internal.stream;

/** What becomes of the last frame of an attempt. */
public sealed interface EndVerdict {
    /** Count and checksum hold: the answer is whole. */
    record Whole() implements EndVerdict {}

    /**
     * It belongs to another attempt: drop it.
     *
     * @param reason why
     */
    record Discard(DiscardReason reason) implements EndVerdict {}

    /**
     * Count or checksum do not hold.
     *
     * @param detail which
     */
    record Broken(String detail) implements EndVerdict {}
}
