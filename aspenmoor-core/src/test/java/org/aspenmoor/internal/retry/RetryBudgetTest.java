package org.aspenmoor.internal.retry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import org.testng.annotations.Test;

public class RetryBudgetTest {
    // Every engine fails for a while. Retrying each attempt until it succeeds would multiply the load when capacity
    // is lowest.
    @Test
    public void should_bound_attempts_by_a_share_of_the_requests() {
        RetryBudget budget = new RetryBudget(0.1, 10, Duration.ofSeconds(1));
        int attempts = 0;
        for (int request = 0; request < 1000; request++) {
            budget.firstAttempt();
            attempts++;
            while (budget.retry() instanceof RetryDecision.Granted) {
                attempts++;
            }
        }

        assertTrue(attempts <= 1000 + 10 + 100, "attempts: " + attempts);
    }

    @Test
    public void should_say_when_to_come_back() {
        RetryBudget budget = new RetryBudget(0.1, 1, Duration.ofSeconds(1));
        budget.retry();

        assertEquals(budget.retry(), new RetryDecision.Spent(Duration.ofSeconds(1)));
    }
}
