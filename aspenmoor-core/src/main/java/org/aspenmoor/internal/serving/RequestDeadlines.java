package org.aspenmoor.internal.serving;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * The times at which a request's answer is due: for its objective, for the caller to keep waiting, and at the latest.
 * All are in nanoseconds of the monotonic clock.
 */
public final class RequestDeadlines {
    /**
     * A caller that allows less than this percentage of the route's timeout is treated as a retry; the wait limits that
     * callers state for first attempts differ by a sixth.
     */
    private static final int MIN_FIRST_ATTEMPT_PERCENT = 75;

    private final long arrivedAt;
    private final Route route;
    private final long deadline;
    private final long objectiveDeadline;

    /**
     * Creates the deadlines of a request.
     *
     * @param arrivedAt when it arrived
     * @param waitLimit how long its caller stated it would wait
     * @param route its route
     */
    public RequestDeadlines(long arrivedAt, Optional<Duration> waitLimit, Route route) {
        this.arrivedAt = arrivedAt;
        this.route = route;
        Duration allowed =
                waitLimit.filter(time -> time.compareTo(route.timeout()) < 0).orElse(route.timeout());
        this.deadline = arrivedAt + allowed.toNanos();
        Duration minAllowed =
                route.timeout().multipliedBy(MIN_FIRST_ATTEMPT_PERCENT).dividedBy(100);
        Duration alreadyUsed =
                allowed.compareTo(minAllowed) < 0 ? route.timeout().minus(allowed) : Duration.ZERO;
        this.objectiveDeadline =
                arrivedAt + route.objective().minus(alreadyUsed).toNanos();
    }

    /** Returns when the request arrived. */
    public long arrivedAt() {
        return arrivedAt;
    }

    /** Returns when the request has to be finished. */
    public long deadline() {
        return deadline;
    }

    /** Returns the time from the arrival of the request to its deadline. */
    public Duration allowed() {
        return Duration.ofNanos(deadline - arrivedAt);
    }

    /**
     * Returns when the answer has to start to be on time. A caller that retries after a refusal has less time left than
     * the route allows; the time it has already used is subtracted from the objective too.
     */
    public long objectiveDeadline() {
        return objectiveDeadline;
    }

    /**
     * Returns until when the caller waits for the next part of the answer. If this were counted from the arrival after
     * the answer had started, a long stream whose engine was lost could not be continued and would be interrupted.
     *
     * @param lastEventAt when the caller last received an event
     */
    public long callerWaitsUntil(OptionalLong lastEventAt) {
        long lastSentAt = lastEventAt.orElse(arrivedAt);
        return Math.min(deadline, lastSentAt + route.callerIdleTimeout().toNanos());
    }

    /**
     * Returns until when a further part of the answer may still be of use. How long a caller waits between events is only
     * assumed, and one that leaves is seen at its connection, so an answer that has begun is due until its deadline.
     *
     * @param lastEventAt when the caller last received an event
     */
    public long usefulUntil(OptionalLong lastEventAt) {
        return lastEventAt.isPresent() ? deadline : callerWaitsUntil(lastEventAt);
    }
}
