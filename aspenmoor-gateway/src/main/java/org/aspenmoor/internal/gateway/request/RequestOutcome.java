package org.aspenmoor.internal.gateway.request;

/** What a request ended in, for the log and the metrics. */
enum RequestOutcome {
    /** The whole answer of a backend server reached the caller. */
    ANSWERED,
    /** A backend server's own failure was passed on. */
    FAILURE_PASSED_ON,
    /** It did not run, and the caller was told so. */
    NOT_RUN,
    /** It may have run; the caller was told that the outcome is unknown. */
    UNKNOWN,
    /** The answer broke off after it had begun. */
    CUT,
    /** The caller left first. */
    CALLER_LEFT,
    /** No route leads anywhere for it. */
    NO_ROUTE
}
