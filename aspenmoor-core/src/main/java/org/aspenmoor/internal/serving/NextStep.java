package org.aspenmoor.internal.serving;

/** What is best for the caller after an attempt has ended without an answer. */
public enum NextStep {
    /** Another backend server may take the request. */
    REPEAT,
    /** The request ran nowhere and will not: the caller is told so, and when to come back. */
    REFUSE,
    /** It may have run: the caller is told that its outcome is unknown. */
    REPORT_UNKNOWN,
    /** The backend server's own failure is the answer. */
    PASS_FAILURE_ON
}
