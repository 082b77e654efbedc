package org.aspenmoor.internal.agent;

/** How a call to the backend server ended. */
sealed interface CallEnd {
    /**
     * The backend server said that its answer is complete.
     *
     * @param finishReason why a generation ended; empty for plain services
     */
    record Complete(String finishReason) implements CallEnd {}

    /**
     * No connection came about, so nothing was started.
     *
     * @param detail what went wrong
     */
    record NeverStarted(String detail) implements CallEnd {}

    /**
     * The call broke after it was sent; it may have run.
     *
     * @param detail what went wrong
     */
    record Failed(String detail) implements CallEnd {}
}
