package org.aspenmoor.internal.retry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.Random;
import org.aspenmoor.internal.time.ManualTimeSource;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class CircuitBreakerTest {
    private ManualTimeSource time;
    private CircuitBreaker breaker;

    @BeforeMethod
    public void setUp() {
        time = new ManualTimeSource();
        breaker = new CircuitBreaker(BreakerSettings.DEFAULT, time, new Random(3));
    }

    // An engine accepts requests and answers none. It looks idle and would be sent more and more requests.
    @Test
    public void should_reject_attempts_when_an_engine_fails_repeatedly() {
        fail(2);
        assertEquals(breaker.tryAcquire(), new BreakerDecision.Allowed());
        fail(1);

        assertTrue(breaker.tryAcquire() instanceof BreakerDecision.Rejected);
    }

    @Test
    public void should_allow_one_trial_when_the_open_time_has_passed() {
        fail(3);
        time.advance(Duration.ofMillis(1250));

        assertEquals(breaker.tryAcquire(), new BreakerDecision.Trial());
        assertTrue(breaker.tryAcquire() instanceof BreakerDecision.Rejected);
        breaker.recordSuccess();
        assertEquals(breaker.tryAcquire(), new BreakerDecision.Allowed());
    }

    @Test
    public void should_stay_open_longer_when_a_trial_fails() {
        fail(3);
        for (int trial = 0; trial < 10; trial++) {
            time.advance(Duration.ofSeconds(40));
            assertEquals(breaker.tryAcquire(), new BreakerDecision.Trial());
            fail(1);
        }

        Duration retryAfter = ((BreakerDecision.Rejected) breaker.tryAcquire()).retryAfter();
        assertTrue(retryAfter.compareTo(Duration.ofSeconds(22)) > 0);
        assertTrue(retryAfter.compareTo(Duration.ofSeconds(38)) < 0);
    }

    // The entry never learns the result of a trial because its caller disconnected. The breaker must not stay open
    // forever.
    @Test
    public void should_allow_another_trial_when_a_trial_never_completes() {
        fail(3);
        time.advance(Duration.ofSeconds(2));
        breaker.tryAcquire();
        time.advance(BreakerSettings.DEFAULT.trialTimeout());
        assertTrue(breaker.tryAcquire() instanceof BreakerDecision.Rejected);
        time.advance(Duration.ofSeconds(3));

        assertEquals(breaker.tryAcquire(), new BreakerDecision.Trial());
    }

    private void fail(int times) {
        for (int failure = 0; failure < times; failure++) {
            breaker.recordFailure();
        }
    }
}
