package org.aspenmoor;

import java.time.Duration;

/** The outcome of a request; every request has exactly one of these three. */
public sealed interface Outcome {
    /**
     * The complete answer was sent to the caller.
     *
     * @param status the HTTP status of the answer
     */
    record Answered(int status) implements Outcome {}

    /**
     * The request did not run anywhere.
     *
     * @param reason why the request was refused
     * @param comeBackAfter how long the caller should wait before a retry
     * @param detail an explanation for the caller, in one sentence
     */
    record NotRun(RefusalReason reason, Duration comeBackAfter, String detail) implements Outcome {}

    /**
     * The request was dispatched but its answer was lost; it may or may not have run.
     *
     * @param detail an explanation for the caller, in one sentence
     */
    record Unknown(String detail) implements Outcome {}
}
