package org.aspenmoor.internal.serving.freshness;

import java.time.Duration;

/**
 * When an entry polls a collection next, as far as is known now.
 *
 * @param delay time until then; zero if the poll is due
 * @param storeWait how long the poll may wait at the store for changes
 * @param reason why it polls
 */
public record NextPoll(Duration delay, Duration storeWait, PollReason reason) {
    /** Returns whether the poll is due. */
    public boolean due() {
        return delay.isZero();
    }

    /** Returns the same poll without waiting for changes. */
    public NextPoll withoutWait() {
        return new NextPoll(delay, CollectionFreshness.NO_WAIT, reason);
    }

    /** Returns whether a poll that fails is retried at once, because the confirmation may be about to reach its limit. */
    public boolean retried() {
        return reason != PollReason.REGULAR;
    }
}
