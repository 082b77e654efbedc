package org.aspenmoor.internal.retry;

import java.time.Duration;

/** Whether an attempt may be sent to a backend server. */
public sealed interface BreakerDecision {
    /** The attempt is allowed; the server works. */
    record Allowed() implements BreakerDecision {}

    /** The attempt is allowed as a trial that shows whether the server works again after earlier failures. */
    record Trial() implements BreakerDecision {}

    /**
     * The attempt is rejected: the server failed recently, or a trial is in progress.
     *
     * @param retryAfter time until the next trial is due
     */
    record Rejected(Duration retryAfter) implements BreakerDecision {}
}
