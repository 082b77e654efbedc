package org.aspenmoor.internal.standins.command;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.aspenmoor.internal.standins.http.Json;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class AccountSumsTest {
    private AccountSums sums;

    @BeforeMethod
    public void start() {
        sums = new AccountSums();
    }

    @Test
    public void should_report_no_violation_when_the_counts_of_an_idle_process_balance() {
        add("{\"process\":\"entry-1\",\"imbalance\":\"\",\"requests\":{\"received\":9,\"answered\":5,\"notRun\":2,"
                + "\"unknown\":1,\"cancelled\":1,\"inFlight\":0}}");

        assertEquals(sums.violations(), List.of());
    }

    @Test
    public void should_report_a_violation_when_a_request_is_in_no_count() {
        // A request is dropped without being counted as ended. Its caller waits until its timeout; only the sum shows
        // it.
        add("{\"process\":\"entry-1\",\"requests\":{\"received\":9,\"answered\":5,\"notRun\":2,"
                + "\"unknown\":1,\"cancelled\":0,\"inFlight\":0}}");

        assertTrue(sums.violations().getFirst().startsWith("entry-1: requests do not balance"));
    }

    @Test
    public void should_report_a_violation_when_dispatches_still_run() {
        add("{\"process\":\"agent-1\",\"dispatches\":{\"received\":3,\"refused\":0,\"complete\":2,\"failed\":0,"
                + "\"cancelled\":0,\"running\":1}}");

        assertTrue(sums.violations().getFirst().startsWith("agent-1: dispatches still running"));
    }

    @Test
    public void should_report_a_violation_when_a_count_is_missing() {
        add("{\"process\":\"agent-1\",\"dispatches\":{\"received\":0}}");
        add("{\"process\":\"agent-2\"}");

        assertEquals(sums.violations().size(), 2);
    }

    @Test
    public void should_report_the_imbalance_when_the_process_reports_one() {
        add("{\"process\":\"entry-1\",\"imbalance\":\"received 4 but accounted for 3\",\"chunks\":{\"received\":0,"
                + "\"delivered\":0,\"discarded\":0,\"broken\":0}}");

        assertEquals(sums.violations(), List.of("entry-1: received 4 but accounted for 3"));
    }

    private void add(String state) {
        sums.add(Json.parseObject(state).orElseThrow());
    }
}
