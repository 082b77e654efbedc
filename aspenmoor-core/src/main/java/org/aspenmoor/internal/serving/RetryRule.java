package org.aspenmoor.internal.serving;

/** Whether a request may run again if its first run did not end with a usable answer. */
public enum RetryRule {
    /** The request is idempotent: another backend server may run it again. */
    REPEATABLE,
    /** The request may run at most once. */
    AT_MOST_ONCE,
    /** The answer is a stream that another engine can continue after the last event that arrived. */
    RESUMABLE
}
