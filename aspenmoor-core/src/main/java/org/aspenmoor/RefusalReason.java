package org.aspenmoor;

/** Why a request was refused without having run. */
public enum RefusalReason {
    /** The token is missing, unknown, or does not belong to the team that owns the service. */
    NOT_AUTHORISED,
    /** The request is malformed or exceeds a limit. */
    MALFORMED,
    /** No service of the team accepts this request. */
    NO_SUCH_SERVICE,
    /** Waiting and running would take longer than the kind's deadline. */
    CANNOT_FINISH_IN_TIME,
    /** The queues are full and requests of greater weight are served first. */
    OVERLOADED,
    /** No engine or backend server that could serve the request is reachable. */
    NO_BACKEND,
    /** The team has used up its budget for retries. */
    RETRY_BUDGET_SPENT,
    /** The store, which is needed to run this request at most once, does not answer. */
    STORE_UNAVAILABLE,
    /** The idempotency key was used before with a different body. */
    KEY_REUSED,
    /** The process is stopping and accepts no new requests. */
    STOPPING,
    /** The process cannot confirm that its document is current, and the team forbids serving in this case. */
    DOCUMENT_UNCERTAIN
}
