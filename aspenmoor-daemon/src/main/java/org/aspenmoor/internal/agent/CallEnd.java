package org.aspenmoor.internal.agent;

/** How a call to the backend server ended. */
sealed interface CallEnd {
    /**
     * The backend server reported its answer as complete.
     *
     * @param finishReason why a generation ended; empty for plain services
     */
    record Complete(String finishReason) implements CallEnd {}

    /**
     * The connection failed, so nothing was started.
     *
     * @param detail a description of the failure
     */
    record NeverStarted(String detail) implements CallEnd {}

    /**
     * The call failed after it was sent; it may have run.
     *
     * @param detail a description of the failure
     */
    record Failed(String detail) implements CallEnd {}
}
