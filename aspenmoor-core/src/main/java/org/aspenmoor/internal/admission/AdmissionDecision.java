package org.aspenmoor.internal.admission;

import java.time.Duration;
import org.aspenmoor.RefusalReason;

/** What became of an offered request. */
public sealed interface AdmissionDecision {
    /** Nothing waits before it: send it now if an engine has room, else take it from the queue later. */
    record Admitted() implements AdmissionDecision {}

    /**
     * It waits.
     *
     * @param expectedWait how long it is expected to wait
     */
    record Queued(Duration expectedWait) implements AdmissionDecision {}

    /**
     * It was refused and will not run.
     *
     * @param reason why
     * @param comeBackAfter when the backlog is expected to leave room for it
     * @param detail one sentence for the caller
     */
    record Refused(RefusalReason reason, Duration retryAfter, String detail) implements AdmissionDecision {}
}
