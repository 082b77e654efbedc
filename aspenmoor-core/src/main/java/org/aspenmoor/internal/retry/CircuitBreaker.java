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
    private static final double SHORTEST_SHARE = 0.75;
    private static final double VARYING_SHARE = 0.5;

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
    public BreakerDecision ask() {
        return switch (state) {
            case State.Closed closed -> new BreakerDecision.Pass();
            case State.Opened opened -> askOpened(opened);
            case State.Trying trying -> askTrying(trying);
        };
    }

    /** Records an attempt that was answered. */
    public void succeeded() {
        state = new State.Closed(0);
    }

    /** Records an attempt that failed or stalled. */
    public void failed() {
        switch (state) {
            case State.Closed closed
            when closed.failures() + 1 < settings.failuresInARow() -> state = new State.Closed(closed.failures() + 1);
            case State.Closed closed -> open(settings.firstPause());
            case State.Trying trying -> open(longer(trying.pause()));
            case State.Opened opened -> {
                // The attempt was sent before the breaker opened and adds no information.
            }
        }
    }

    private BreakerDecision askOpened(State.Opened opened) {
        long remaining = opened.untilNanoseconds() - time.monotonicNanoseconds();
        if (remaining > 0) {
            return new BreakerDecision.Open(Duration.ofNanos(remaining));
        }
        state = new State.Trying(opened.pause(), time.monotonicNanoseconds());
        return new BreakerDecision.Trial();
    }

    private BreakerDecision askTrying(State.Trying trying) {
        Duration age = Duration.ofNanos(time.monotonicNanoseconds() - trying.sinceNanoseconds());
        if (age.compareTo(settings.trialTimeout()) < 0) {
            return new BreakerDecision.Open(settings.trialTimeout().minus(age));
        }
        open(longer(trying.pause()));
        return ask();
    }

    private void open(Duration pause) {
        double share = SHORTEST_SHARE + VARYING_SHARE * random.nextDouble();
        long varied = (long) (pause.toNanos() * share);
        state = new State.Opened(pause, time.monotonicNanoseconds() + varied);
    }

    private Duration longer(Duration pause) {
        Duration doubled = pause.multipliedBy(2);
        return doubled.compareTo(settings.longestPause()) < 0 ? doubled : settings.longestPause();
    }

    /** State of the breaker. */
    private sealed interface State {
        /** Attempts are allowed; counts the consecutive failures. */
        record Closed(int failures) implements State {}

        /** Attempts are rejected until the given time. */
        record Opened(Duration pause, long untilNanoseconds) implements State {}

        /** One trial is in progress. */
        record Trying(Duration pause, long sinceNanoseconds) implements State {}
    }
}
