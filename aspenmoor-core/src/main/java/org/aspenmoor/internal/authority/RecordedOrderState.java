package org.aspenmoor.internal.authority;

/** The state of an order in the record of its engine. */
public enum RecordedOrderState {
    /** Recorded before it is sent; no other order may be sent until its outcome is known. */
    STARTED,
    /** The engine executed it. */
    FINISHED,
    /** The engine refused it or aborted it. */
    FAILED,
    /** The agent knows that it was never sent. */
    WITHDRAWN,
    /** The maximum transit time has passed, and the engine has not received it. */
    ABANDONED;

    /** Returns whether the outcome is known, so that the next order may be sent. */
    public boolean isResolved() {
        return this != STARTED;
    }
}
