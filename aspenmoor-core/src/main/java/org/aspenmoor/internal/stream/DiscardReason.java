package org.aspenmoor.internal.stream;

/** Why a frame was dropped. */
public enum DiscardReason {
    /** It belongs to an attempt that was given up. */
    OLD_ATTEMPT,
    /** Its sequence number was delivered before. */
    DUPLICATE,
    /** The answer had ended. */
    AFTER_THE_END
}
