package org.aspenmoor;

/** Why a request was refused without having run. */
public enum RefusalReason {
    /** The token is missing, unknown, or not of the team that owns the service. */
    NOT_AUTHORISED,
    /** The request itself is malformed or breaks a limit. */
    MALFORMED,
    /** No service of the team takes this request. */
    NO_SUCH_SERVICE,
    /** Waiting and running would take longer than the kind's deadline. */
    CANNOT_FINISH_IN_TIME,
    /** Queues are full and requests of greater weight go first. */
    OVERLOADED,
    /** No engine or backend server that could take the request is reachable. */
    NO_BACKEND,
    /** The team has used up its budget for retries. */
    RETRY_BUDGET_SPENT,
    /** The store is needed to run this request at most once, and it does not answer. */
    STORE_UNAVAILABLE,
    /** The idempotency key was used before with another body. */
    KEY_REUSED,
    /** The process is stopping and takes no new work. */
    STOPPING,
    /** The process cannot tell whether its document is current and the document forbids serving then. */
    DOCUMENT_UNCERTAIN
}
