package org.aspenmoor.internal.gateway.request;

/** How a request ended, for the log and the metrics. */
enum RequestOutcome {
    /** The complete answer of a backend server was sent to the caller. */
    ANSWERED,
    /** The error answer of a backend server was forwarded to the caller. */
    FAILURE_PASSED_ON,
    /** The request did not run, and the answer to the caller says so. */
    NOT_RUN,
    /** The request may have run; the answer to the caller says that the outcome is unknown. */
    UNKNOWN,
    /** The answer was aborted after part of it had been sent to the caller. */
    CUT,
    /** The caller closed its connection before the answer was complete. */
    CALLER_LEFT,
    /** No route matched the request. */
    NO_ROUTE,
    /** The request did not run, because it contained no valid key. */
    UNAUTHORISED
}
