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
    public void should_leave_an_engine_alone_that_fails_again_and_again() {
        fail(2);
        assertEquals(breaker.ask(), new BreakerDecision.Pass());
        fail(1);

        assertTrue(breaker.ask() instanceof BreakerDecision.Open);
    }

    @Test
    public void should_send_one_trial_after_the_pause() {
        fail(3);
        time.advance(Duration.ofMillis(1250));

        assertEquals(breaker.ask(), new BreakerDecision.Trial());
        assertTrue(breaker.ask() instanceof BreakerDecision.Open);
        breaker.succeeded();
        assertEquals(breaker.ask(), new BreakerDecision.Pass());
    }

    @Test
    public void should_pause_longer_after_each_failed_trial() {
        fail(3);
        for (int trial = 0; trial < 10; trial++) {
            time.advance(Duration.ofSeconds(40));
            assertEquals(breaker.ask(), new BreakerDecision.Trial());
            fail(1);
        }

        Duration comeBackAfter = ((BreakerDecision.Open) breaker.ask()).comeBackAfter();
        assertTrue(comeBackAfter.compareTo(Duration.ofSeconds(22)) > 0);
        assertTrue(comeBackAfter.compareTo(Duration.ofSeconds(38)) < 0);
    }

    // The entry never learns the result of a trial because its caller disconnected. The breaker must not stay open
    // forever.
    @Test
    public void should_try_again_when_a_trial_never_ends() {
        fail(3);
        time.advance(Duration.ofSeconds(2));
        breaker.ask();
        time.advance(BreakerSettings.DEFAULT.trialTimeout());
        assertTrue(breaker.ask() instanceof BreakerDecision.Open);
        time.advance(Duration.ofSeconds(3));

        assertEquals(breaker.ask(), new BreakerDecision.Trial());
    }

    private void fail(int times) {
        for (int failure = 0; failure < times; failure++) {
            breaker.failed();
        }
    }
}
