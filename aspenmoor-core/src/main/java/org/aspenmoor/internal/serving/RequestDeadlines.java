package org.aspenmoor.internal.serving;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;

/** Until when a request's answer is on time, wanted, and allowed; all in nanoseconds of the steady clock. */
public final class RequestDeadlines {
    /** Callers differ in patience by a sixth; who brings less of the route's time than this, in percent, was here before. */
    private static final int MIN_FIRST_ATTEMPT_PERCENT = 75;

    private final long arrivedAt;
    private final Route route;
    private final long deadline;
    private final long objectiveDeadline;

    /**
     * Makes the times of a request.
     *
     * @param arrivedAt when it arrived
     * @param patience how long its caller said it would wait
     * @param route where it goes
     */
    public RequestDeadlines(long arrivedAt, Optional<Duration> waitLimit, Route route) {
        this.arrivedAt = arrivedAt;
        this.route = route;
        Duration allowed =
                waitLimit.filter(time -> time.compareTo(route.timeout()) < 0).orElse(route.timeout());
        this.deadline = arrivedAt + allowed.toNanos();
        Duration minAllowed = route.timeout().multipliedBy(MIN_FIRST_ATTEMPT_PERCENT).dividedBy(100);
        Duration alreadyUsed = allowed.compareTo(minAllowed) < 0 ? route.timeout().minus(allowed) : Duration.ZERO;
        this.objectiveDeadline = arrivedAt + route.objective().minus(alreadyUsed).toNanos();
    }

    /** Returns when the request arrived. */
    public long arrivedAt() {
        return arrivedAt;
    }

    /** Returns until when the request may be kept waiting for its end. */
    public long deadline() {
        return deadline;
    }

    /** Returns how long the request may take. */
    public Duration allowed() {
        return Duration.ofNanos(deadline - arrivedAt);
    }

    /**
     * Returns until when the answer must begin to be on time. A caller that comes back after a refusal has less time than
     * the route allows; what is gone of it is gone of the objective too.
     */
    public long objectiveDeadline() {
        return objectiveDeadline;
    }

    /**
     * Returns until when the caller waits for something to come. Counted from the arrival also where the answer had begun,
     * a long stream whose engine was lost could not be continued any more, and was cut.
     *
     * @param lastEventAt when the caller last got something
     */
    public long callerWaitsUntil(OptionalLong lastEventAt) {
        long lastSentAt = lastEventAt.orElse(arrivedAt);
        return Math.min(deadline, lastSentAt + route.callerIdleTimeout().toNanos());
    }
}
