package org.aspenmoor.internal.retry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import org.testng.annotations.Test;

public class RetryBudgetTest {
    // Every engine fails for a while. Retrying each attempt until it succeeds would multiply the load when capacity
    // is lowest.
    @Test
    public void should_limit_retries_to_a_fraction_of_the_requests_when_every_attempt_fails() {
        RetryBudget budget = new RetryBudget(0.1, 10, Duration.ofSeconds(1));
        int attempts = 0;
        for (int request = 0; request < 1000; request++) {
            budget.recordFirstAttempt();
            attempts++;
            while (budget.tryAcquire() instanceof RetryDecision.Granted) {
                attempts++;
            }
        }

        assertTrue(attempts <= 1000 + 10 + 100, "attempts: " + attempts);
    }

    @Test
    public void should_return_the_retry_delay_when_the_budget_is_exhausted() {
        RetryBudget budget = new RetryBudget(0.1, 1, Duration.ofSeconds(1));
        budget.tryAcquire();

        assertEquals(budget.tryAcquire(), new RetryDecision.Exhausted(Duration.ofSeconds(1)));
    }
}
