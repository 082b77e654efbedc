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
    public void should_accept_accounts_that_balance_at_rest() {
        add("{\"process\":\"entry-1\",\"imbalance\":\"\",\"requests\":{\"received\":9,\"answered\":5,\"notRun\":2,"
                + "\"unknown\":1,\"cancelled\":1,\"inFlight\":0}}");

        assertEquals(sums.violations(), List.of());
    }

    @Test
    public void should_find_a_request_that_is_in_no_count() {
        // A request is dropped without an end. Its caller waits until its time-out; only the sum shows it.
        add("{\"process\":\"entry-1\",\"requests\":{\"received\":9,\"answered\":5,\"notRun\":2,"
                + "\"unknown\":1,\"cancelled\":0,\"inFlight\":0}}");

        assertTrue(sums.violations().getFirst().startsWith("entry-1: requests do not balance"));
    }

    @Test
    public void should_find_work_that_goes_on_after_all_callers_have_their_answers() {
        add("{\"process\":\"agent-1\",\"dispatches\":{\"received\":3,\"refused\":0,\"complete\":2,\"failed\":0,"
                + "\"cancelled\":0,\"running\":1}}");

        assertTrue(sums.violations().getFirst().startsWith("agent-1: dispatches still running"));
    }

    @Test
    public void should_not_take_a_missing_count_for_zero() {
        add("{\"process\":\"agent-1\",\"dispatches\":{\"received\":0}}");
        add("{\"process\":\"agent-2\"}");

        assertEquals(sums.violations().size(), 2);
    }

    @Test
    public void should_pass_on_what_the_process_itself_found() {
        add("{\"process\":\"entry-1\",\"imbalance\":\"received 4 but accounted for 3\",\"chunks\":{\"received\":0,"
                + "\"delivered\":0,\"discarded\":0,\"broken\":0}}");

        assertEquals(sums.violations(), List.of("entry-1: received 4 but accounted for 3"));
    }

    private void add(String state) {
        sums.add(Json.parseObject(state).orElseThrow());
    }
}
