package org.aspenmoor.internal.serving;

/** What may happen to a request whose first run had no usable end. */
public enum RetryRule {
    /** It is idempotent: another backend server may run it again. */
    REPEATABLE,
    /** It may run once at most. */
    AT_MOST_ONCE,
    /** Its answer is a stream that another engine may continue after the last event that arrived. */
    RESUMABLE
}
