package org.aspenmoor;

import java.time.Duration;

/** What a request ended in; there is no fourth way. */
public sealed interface Outcome {
    /**
     * The whole answer reached the caller.
     *
     * @param status the HTTP status of the answer
     */
    record Answered(int status) implements Outcome {}

    /**
     * The request did not run anywhere.
     *
     * @param reason why it was refused
     * @param comeBackAfter how long the caller should wait before it asks again
     * @param detail one sentence for the caller
     */
    record NotRun(RefusalReason reason, Duration comeBackAfter, String detail) implements Outcome {}

    /**
     * The request was dispatched and its answer was lost; it may or may not have run.
     *
     * @param detail one sentence for the caller
     */
    record Unknown(String detail) implements Outcome {}
}
