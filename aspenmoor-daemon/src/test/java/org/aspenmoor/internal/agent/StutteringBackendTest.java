package org.aspenmoor.internal.agent;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.fail;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.aspenmoor.internal.engine.EngineRefusedOrderException;
import org.aspenmoor.internal.engine.EngineUnreachableException;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class StutteringBackendTest {
    private static final String SUCCESS = answer("200 OK", "booked");
    private static final String FAILURE = answer("500 Internal Server Error", "not booked");
    private static final String ACCEPTED = answer("202 Accepted", "{}");
    private static final String REFUSED = answer("409 Conflict", "a higher fencing number");

    private BackendCallFixture fixture;

    @BeforeMethod
    public void start() {
        fixture = new BackendCallFixture();
    }

    @AfterMethod
    public void stop() {
        fixture.close();
    }

    @Test
    // Guards against a failure that callers see as a success, because a cut 200 stands in front of it.
    public void should_not_report_a_success_when_an_earlier_answer_is_repeated() throws Exception {
        List<Integer> taken = new ArrayList<>();
        for (int cut = 1; cut <= SUCCESS.length(); cut++) {
            try (StutteringBackend backend = new StutteringBackend(List.of(SUCCESS, FAILURE), bytes(SUCCESS, cut))) {
                HttpBackendCaller caller = fixture.callerOf(backend.address());
                fixture.statusOfCall(caller, 1);
                if (fixture.statusOfCall(caller, 2) == 200) {
                    taken.add(cut);
                }
            }
        }
        assertEquals(taken, List.of());
    }

    @Test
    // Guards against a refused order that counts as accepted, because a cut 202 stands in front of the 409.
    public void should_not_take_an_order_for_accepted_when_an_earlier_answer_is_repeated() throws Exception {
        List<Integer> taken = new ArrayList<>();
        for (int cut = 1; cut <= ACCEPTED.length(); cut++) {
            try (StutteringBackend backend = new StutteringBackend(List.of(ACCEPTED, REFUSED), bytes(ACCEPTED, cut))) {
                HttpEngineControl control = fixture.controlOf(backend.address());
                if (!isAccepted(control)) {
                    fail("the first order was not accepted");
                }
                if (isAccepted(control)) {
                    taken.add(cut);
                }
            }
        }
        assertEquals(taken, List.of());
    }

    @Test
    // Guards against a thread of orders that ends because of an exception that the JDK's client does not declare.
    public void should_report_unreachable_when_the_length_of_an_answer_is_not_a_number() throws Exception {
        String answer = "HTTP/1.1 202 Accepted\r\nContent-Length: HTTP/1.1 409 Conflict\r\n\r\n";
        try (StutteringBackend backend = new StutteringBackend(List.of(answer), new byte[0])) {
            HttpEngineControl control = fixture.controlOf(backend.address());

            assertThrows(EngineUnreachableException.class, () -> BackendCallFixture.order(control));
        }
    }

    private static boolean isAccepted(HttpEngineControl control) {
        try {
            BackendCallFixture.order(control);
            return true;
        } catch (EngineRefusedOrderException | EngineUnreachableException refused) {
            return false;
        }
    }

    private static String answer(String status, String body) {
        return "HTTP/1.1 " + status + "\r\nDate: Sun, 06 Dec 2026 00:00:00 GMT\r\nContent-Type: text/plain\r\n"
                + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }

    private static byte[] bytes(String answer, int length) {
        return Arrays.copyOf(answer.getBytes(StandardCharsets.UTF_8), length);
    }
}
