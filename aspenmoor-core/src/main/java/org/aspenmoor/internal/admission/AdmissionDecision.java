package org.aspenmoor.internal.admission;

import java.time.Duration;
import org.aspenmoor.RefusalReason;

/** The result of offering a request to an {@link AdmissionQueue}. */
public sealed interface AdmissionDecision {
    /** No request is ahead of it: send it now if an engine has capacity, otherwise take it from the queue later. */
    record Admitted() implements AdmissionDecision {}

    /**
     * The request waits in the queue.
     *
     * @param expectedWait the expected wait
     */
    record Queued(Duration expectedWait) implements AdmissionDecision {}

    /**
     * The request was refused and will not run.
     *
     * @param reason the reason
     * @param retryAfter the time after which the backlog is expected to have capacity for it
     * @param detail a description for the caller
     */
    record Refused(RefusalReason reason, Duration retryAfter, String detail) implements AdmissionDecision {}
}
