package org.aspenmoor.internal.store.client;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import org.aspenmoor.internal.store.StoreBudgetException;
import org.aspenmoor.internal.time.ManualTimeSource;
import org.testng.annotations.Test;

public class CallBudgetTest {
    private final ManualTimeSource time = new ManualTimeSource();

    @Test
    public void should_allow_a_burst_and_then_the_long_run_rate() {
        // After a store outage all processes of the fleet read the missed changes at the same time.
        CallBudget budget = new CallBudget(time, 10, 5);

        assertEquals(taken(budget), 5);
        time.advance(Duration.ofMillis(300));
        assertEquals(taken(budget), 3);
        time.advance(Duration.ofHours(1));
        assertEquals(taken(budget), 5);
    }

    private static int taken(CallBudget budget) {
        int calls = 0;
        while (true) {
            try {
                budget.acquire("test");
                calls++;
            } catch (StoreBudgetException spent) {
                return calls;
            }
        }
    }
}
