package org.aspenmoor.internal.store.client;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import org.aspenmoor.internal.store.StoreBudgetException;
import org.aspenmoor.internal.time.ManualTimeSource;
import org.testng.annotations.Test;

public class CallBudgetTest {
    private final ManualTimeSource time = new ManualTimeSource();

    @Test
    public void should_allow_sustained_rate_when_burst_is_used_up() {
        // After a store outage all processes of the fleet read the missed changes at the same time.
        CallBudget budget = new CallBudget(time, 10, 5);

        assertEquals(acquiredCalls(budget), 5);
        time.advance(Duration.ofMillis(300));
        assertEquals(acquiredCalls(budget), 3);
        time.advance(Duration.ofHours(1));
        assertEquals(acquiredCalls(budget), 5);
    }

    private static int acquiredCalls(CallBudget budget) {
        int calls = 0;
        while (true) {
            try {
                budget.acquire("test");
                calls++;
            } catch (StoreBudgetException budgetUsedUp) {
                return calls;
            }
        }
    }
}
