package org.aspenmoor.internal.retry;

import java.time.Duration;
import java.util.random.RandomGenerator;
import org.aspenmoor.internal.time.TimeSource;

/**
 * Withholds attempts from one backend server that fails or stalls.
 *
 * <p>An engine that accepts requests and answers none looks idle, so a router that considers load alone sends it
 * more and more requests, and deadlines are missed while other engines have capacity. After a number of consecutive
 * failures the breaker opens for a while, then allows one trial. The time it stays open varies by a quarter in
 * either direction, so that entries do not all send their trials at the same moment.
 *
 * <p>Used by one thread only.
 */
public final class CircuitBreaker {
    private static final double MIN_JITTER_FACTOR = 0.75;
    private static final double JITTER_RANGE = 0.5;

    private final BreakerSettings settings;
    private final TimeSource time;
    private final RandomGenerator random;
    private State state = new State.Closed(0);

    public CircuitBreaker(BreakerSettings settings, TimeSource time, RandomGenerator random) {
        this.settings = settings;
        this.time = time;
        this.random = random;
    }

    /**
     * Requests permission for an attempt; a {@link BreakerDecision.Trial} must be followed by its success or
     * failure.
     */
    public BreakerDecision tryAcquire() {
        return switch (state) {
            case State.Closed closed -> new BreakerDecision.Allowed();
            case State.Open open -> tryAcquireOpen(open);
            case State.HalfOpen halfOpen -> tryAcquireHalfOpen(halfOpen);
        };
    }

    /** Records an attempt that was answered. */
    public void recordSuccess() {
        state = new State.Closed(0);
    }

    /** Records an attempt that failed or stalled. */
    public void recordFailure() {
        switch (state) {
            case State.Closed closed
            when closed.failures() + 1 < settings.failureThreshold() -> state = new State.Closed(closed.failures() + 1);
            case State.Closed closed -> open(settings.initialOpenTime());
            case State.HalfOpen halfOpen -> open(doubledOpenTime(halfOpen.openTime()));
            case State.Open open -> {
                // The attempt was sent before the breaker opened and adds no information.
            }
        }
    }

    private BreakerDecision tryAcquireOpen(State.Open open) {
        long remaining = open.untilNanoseconds() - time.monotonicNanos();
        if (remaining > 0) {
            return new BreakerDecision.Rejected(Duration.ofNanos(remaining));
        }
        state = new State.HalfOpen(open.openTime(), time.monotonicNanos());
        return new BreakerDecision.Trial();
    }

    private BreakerDecision tryAcquireHalfOpen(State.HalfOpen halfOpen) {
        Duration age = Duration.ofNanos(time.monotonicNanos() - halfOpen.sinceNanoseconds());
        if (age.compareTo(settings.trialTimeout()) < 0) {
            return new BreakerDecision.Rejected(settings.trialTimeout().minus(age));
        }
        open(doubledOpenTime(halfOpen.openTime()));
        return tryAcquire();
    }

    private void open(Duration openTime) {
        double jitterFactor = MIN_JITTER_FACTOR + JITTER_RANGE * random.nextDouble();
        long jitteredNanos = (long) (openTime.toNanos() * jitterFactor);
        state = new State.Open(openTime, time.monotonicNanos() + jitteredNanos);
    }

    private Duration doubledOpenTime(Duration openTime) {
        Duration doubled = openTime.multipliedBy(2);
        return doubled.compareTo(settings.maxOpenTime()) < 0 ? doubled : settings.maxOpenTime();
    }

    /** State of the breaker. */
    private sealed interface State {
        /** Attempts are allowed; counts the consecutive failures. */
        record Closed(int failures) implements State {}

        /** Attempts are rejected until the given time. */
        record Open(Duration openTime, long untilNanoseconds) implements State {}

        /** One trial is in progress. */
        record HalfOpen(Duration openTime, long sinceNanoseconds) implements State {}
    }
}
