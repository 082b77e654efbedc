package org.aspenmoor.internal.retry;

import java.time.Duration;

/** Whether an attempt may be retried. */
public sealed interface RetryDecision {
    /** The attempt may be retried at once. */
    record Granted() implements RetryDecision {}

    /**
     * The budget is exhausted.
     *
     * @param retryAfter how long the caller should wait before it retries
     */
    record Exhausted(Duration retryAfter) implements RetryDecision {}
}
