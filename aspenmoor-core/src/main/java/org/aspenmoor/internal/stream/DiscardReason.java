package org.aspenmoor.internal.stream;

/** The reason why a frame is discarded. */
public enum DiscardReason {
    /** The frame belongs to an abandoned attempt. */
    OLD_ATTEMPT,
    /** A chunk with the same sequence number was already delivered. */
    DUPLICATE,
    /** The answer has already ended. */
    AFTER_THE_END
}
