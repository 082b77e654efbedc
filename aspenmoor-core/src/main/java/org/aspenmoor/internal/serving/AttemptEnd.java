package org.aspenmoor.internal.serving;

/** How one attempt at one backend server ended without an answer for the caller. */
public sealed interface AttemptEnd {
    /** No connection came about, so no byte of the request left this process. */
    record NeverSent() implements AttemptEnd {}

    /** The backend server said that it did not run the request and will not. */
    record NotExecuted() implements AttemptEnd {}

    /**
     * The request was not run because the server at the address is another one, or does another part of the work, than
     * this process believed.
     */
    record Misdirected() implements AttemptEnd {}

    /** The request was sent and nothing usable came back: whether it ran is not known. */
    record Lost() implements AttemptEnd {}

    /** The backend server answered that it failed. */
    record Failed() implements AttemptEnd {}
}
