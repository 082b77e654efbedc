package org.aspenmoor.internal.serving;

/** What to do after an attempt has ended without an answer. */
public enum NextStep {
    /** Another backend server may run the request. */
    REPEAT,
    /** The request has not run and will not run. The caller is informed of that and of when to retry. */
    REFUSE,
    /** The request may have run. The caller is informed that its outcome is unknown. */
    REPORT_UNKNOWN,
    /** The failure reported by the backend server is passed on to the caller as the answer. */
    PASS_FAILURE_ON
}
