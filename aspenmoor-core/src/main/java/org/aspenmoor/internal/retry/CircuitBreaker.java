package org.aspenmoor.internal.retry;

import java.time.Duration;
import java.util.random.RandomGenerator;
import org.aspenmoor.internal.time.TimeSource;

/**
 * Keeps attempts away from one backend server that fails or stalls.
 *
 * <p>An engine that accepts requests and answers none looks idle, so a router that goes by load alone sends it more and
 * more; callers would see deadlines missed while other engines have room. After some failures in a row the engine gets
 * nothing for a while, then one trial. Pauses vary by a quarter, so that entries do not all try at one moment.
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

    /** Asks for an attempt; a {@link BreakerDecision.Trial} has to be followed by its success or failure. */
    public BreakerDecision ask() {
        return switch (state) {
            case State.Closed closed -> new BreakerDecision.Pass();
            case State.Opened opened -> askOpened(opened);
            case State.Trying trying -> askTrying(trying);
        };
    }

    /** Notes an attempt that was answered. */
    public void succeeded() {
        state = new State.Closed(0);
    }

    /** Notes an attempt that failed or stalled. */
    public void failed() {
        switch (state) {
            case State.Closed closed
            when closed.failures() + 1 < settings.failuresInARow() -> state = new State.Closed(closed.failures() + 1);
            case State.Closed closed -> open(settings.firstPause());
            case State.Trying trying -> open(longer(trying.pause()));
            case State.Opened opened -> {
                // An attempt from before the breaker opened; it says nothing new.
            }
        }
    }

    private BreakerDecision askOpened(State.Opened opened) {
        long remaining = opened.untilNanoseconds() - time.monotonicNanos();
        if (remaining > 0) {
            return new BreakerDecision.Open(Duration.ofNanos(remaining));
        }
        state = new State.Trying(opened.pause(), time.monotonicNanos());
        return new BreakerDecision.Trial();
    }

    private BreakerDecision askTrying(State.Trying trying) {
        Duration age = Duration.ofNanos(time.monotonicNanos() - trying.sinceNanoseconds());
        if (age.compareTo(settings.trialTimeout()) < 0) {
            return new BreakerDecision.Open(settings.trialTimeout().minus(age));
        }
        open(longer(trying.pause()));
        return ask();
    }

    private void open(Duration pause) {
        double share = SHORTEST_SHARE + VARYING_SHARE * random.nextDouble();
        long varied = (long) (pause.toNanos() * share);
        state = new State.Opened(pause, time.monotonicNanos() + varied);
    }

    private Duration longer(Duration pause) {
        Duration doubled = pause.multipliedBy(2);
        return doubled.compareTo(settings.longestPause()) < 0 ? doubled : settings.longestPause();
    }

    /** What the breaker knows. */
    private sealed interface State {
        /** Attempts pass; so many failed in a row. */
        record Closed(int failures) implements State {}

        /** Nothing passes until then. */
        record Opened(Duration pause, long untilNanoseconds) implements State {}

        /** One attempt is finding out. */
        record Trying(Duration pause, long sinceNanoseconds) implements State {}
    }
}
