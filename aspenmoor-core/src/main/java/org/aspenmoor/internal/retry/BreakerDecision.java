package org.aspenmoor.internal.retry;

import java.time.Duration;

/** Whether a backend server may be given an attempt. */
public sealed interface BreakerDecision {
    /** It works. */
    record Pass() implements BreakerDecision {}

    /** It failed a while ago; this one attempt finds out whether it works again. */
    record Trial() implements BreakerDecision {}

    /**
     * It failed a moment ago, or a trial is running.
     *
     * @param comeBackAfter when the next trial is due
     */
    record Open(Duration comeBackAfter) implements BreakerDecision {}
}
