package org.aspenmoor.internal.gateway.caller;

/** An answer that is collected before it is sent. */
public interface CollectedAnswer {
    /** Returns the memory that has been accounted for. */
    long collectedBytes();

    /** Ends the answer and releases its memory. */
    void discard(String reason);
}
