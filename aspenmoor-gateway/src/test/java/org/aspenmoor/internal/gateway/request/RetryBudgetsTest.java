package org.aspenmoor.internal.gateway.request;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import org.aspenmoor.internal.gateway.settings.RetrySettings;
import org.aspenmoor.internal.time.ManualTimeSource;
import org.testng.annotations.Test;

public class RetryBudgetsTest {
    private static final Duration WINDOW = Duration.ofSeconds(10);
    private static final RetrySettings SETTINGS = new RetrySettings(0.2, 100, WINDOW, 1);

    private final ManualTimeSource time = new ManualTimeSource();

    // Guards against a full budget at each start of a process, whatever the process before it has used.
    @Test
    public void should_grant_little_slack_when_the_process_has_just_started() {
        assertEquals(granted(new RetryBudgets(time, SETTINGS, () -> 1)), 4);
    }

    // Guards against a full budget after each change of the settings.
    @Test
    public void should_grant_little_slack_when_the_settings_have_just_changed() {
        RetryBudgets budgets = new RetryBudgets(time, SETTINGS, () -> 1);
        time.advance(WINDOW);
        assertEquals(granted(budgets), 60);

        budgets.reload(new RetrySettings(0.2, 110, WINDOW, 1));

        assertEquals(granted(budgets), 4);
    }

    @Test
    public void should_grant_the_slack_when_the_process_has_run_for_a_window() {
        RetryBudgets budgets = new RetryBudgets(time, SETTINGS, () -> 1);
        time.advance(WINDOW);

        assertEquals(granted(budgets), 60);
    }

    private static int granted(RetryBudgets budgets) {
        int granted = 0;
        while (budgets.tryTakeRetry("service")) {
            granted++;
        }
        return granted;
    }
}
