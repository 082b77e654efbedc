package org.aspenmoor.internal.retry;

import java.time.Duration;

/** Whether an attempt may be repeated. */
public sealed interface RetryDecision {
    /** It may, at once. */
    record Granted() implements RetryDecision {}

    /**
     * The budget is spent.
     *
     * @param comeBackAfter how long the caller should wait
     */
    record Spent(Duration comeBackAfter) implements RetryDecision {}
}
