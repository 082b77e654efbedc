package org.aspenmoor.internal.serving;

/** How an attempt at a backend server ended without an answer for the caller. */
public sealed interface AttemptEnd {
    /**
     * Returns whether an answer's prompt cache at another engine is certainly untouched, because the answering engine was
     * not reached or turned the request away. If it rejected the request, the cache may have expired.
     */
    default boolean promptCacheUntouched() {
        return this instanceof NeverSent
                || this instanceof Withheld
                || this instanceof Misdirected
                || this instanceof TurnedAway;
    }

    /** No connection was established, so no byte of the request left this process. */
    record NeverSent() implements AttemptEnd {}

    /** Nothing was sent: while the connection was opened, it turned out that the request must not be sent there now. */
    record Withheld() implements AttemptEnd {}

    /** The backend server responded that it did not run the request and will not run it. */
    record NotExecuted() implements AttemptEnd {}

    /** The backend server did not run the request, and wants no further one from this entry for a while. */
    record TurnedAway() implements AttemptEnd {}

    /**
     * The request was not run because the server at the address is a different one, or has a different role, than this
     * process expected.
     */
    record Misdirected() implements AttemptEnd {}

    /** The request was sent and no usable response arrived. It is unknown whether the request ran. */
    record Lost() implements AttemptEnd {}

    /** The backend server responded with a failure. */
    record Failed() implements AttemptEnd {}
}
