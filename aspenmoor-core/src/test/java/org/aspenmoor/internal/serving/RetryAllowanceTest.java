package org.aspenmoor.internal.serving;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import org.aspenmoor.internal.time.ManualTimeSource;
import org.testng.annotations.Test;

public class RetryAllowanceTest {
    private static final Duration WINDOW = Duration.ofSeconds(10);

    private final ManualTimeSource time = new ManualTimeSource();

    @Test
    public void should_grant_a_fraction_of_the_requests() {
        RetryAllowance allowance = allowance(0.2, 0);
        for (int request = 0; request < 100; request++) {
            allowance.recordRequest();
        }

        assertEquals(granted(allowance, 8), (int) (RetryAllowance.SAFETY_FACTOR * 20));
    }

    @Test
    public void should_divide_the_slack_among_the_entries_evenly() {
        assertEquals(granted(allowance(0.2, 100), 1), 60);
        assertEquals(granted(allowance(0.2, 100), 10), 6);
    }

    @Test
    public void should_grant_again_when_the_window_has_passed() {
        RetryAllowance allowance = allowance(0.2, 10);
        granted(allowance, 1);
        time.advance(Duration.ofSeconds(9));
        assertFalse(allowance.tryTakeRetry(1));
        time.advance(Duration.ofSeconds(2));

        assertTrue(allowance.tryTakeRetry(1));
    }

    // Guards against retries that are granted twice within one window, at the end of one bucket and the start of
    // another.
    @Test(groups = "known-red")
    public void should_count_a_retry_for_the_whole_window() {
        RetryAllowance allowance = allowance(0, 10);
        time.advance(Duration.ofMillis(999));
        granted(allowance, 1);
        time.advance(Duration.ofMillis(9999));

        assertFalse(allowance.tryTakeRetry(1));
    }

    // All engines of a service fail at once and every request would be retried. Eight entries, each with a different
    // fraction of the callers, must together stay below their shared bound in every window. Otherwise engines that
    // recover would be overloaded again.
    @Test
    public void should_stay_below_the_shared_bound_when_all_requests_fail() {
        double[] fractions = {0.30, 0.20, 0.15, 0.10, 0.10, 0.05, 0.05, 0.05};
        RetryAllowance[] entries = new RetryAllowance[fractions.length];
        double[] pendingRequests = new double[fractions.length];
        for (int entry = 0; entry < fractions.length; entry++) {
            entries[entry] = allowance(0.2, 108);
        }
        int requestsInTenSeconds = 650;
        int retries = 0;
        for (int step = 0; step < 100; step++) {
            for (int entry = 0; entry < fractions.length; entry++) {
                pendingRequests[entry] += fractions[entry] * requestsInTenSeconds / 100;
                while (pendingRequests[entry] >= 1) {
                    pendingRequests[entry]--;
                    entries[entry].recordRequest();
                    retries += entries[entry].tryTakeRetry(fractions.length) ? 1 : 0;
                }
            }
            time.advance(Duration.ofMillis(100));
        }

        assertTrue(retries <= 0.2 * requestsInTenSeconds + 108, "retries: " + retries);
        assertTrue(retries > 0.1 * requestsInTenSeconds, "retries: " + retries);
    }

    // Guards against retries that might not be needed and leave none for requests that have failed.
    @Test
    public void should_leave_half_of_the_allowance_to_failed_requests() {
        RetryAllowance allowance = allowance(0, 100);
        int optional = 0;
        while (allowance.tryTakeOptionalRetry(1)) {
            optional++;
        }

        assertEquals(optional, 30);
        assertEquals(granted(allowance, 1), 30);
    }

    /** Returns the allowance of a process that has run for a whole window. */
    private RetryAllowance allowance(double ratio, double slack) {
        return new RetryAllowance(time, ratio, slack, WINDOW, time.monotonicNanos() - WINDOW.toNanos());
    }

    private static int granted(RetryAllowance allowance, int entries) {
        int granted = 0;
        while (allowance.tryTakeRetry(entries)) {
            granted++;
        }
        return granted;
    }
}
