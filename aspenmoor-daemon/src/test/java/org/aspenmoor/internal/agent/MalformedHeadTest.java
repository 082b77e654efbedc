package org.aspenmoor.internal.agent;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import java.util.List;
import org.aspenmoor.internal.engine.EngineUnreachableException;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Answers of backend servers whose head is malformed. */
public class MalformedHeadTest {
    private BackendCallFixture fixture;

    @BeforeMethod
    public void start() {
        fixture = new BackendCallFixture();
    }

    @AfterMethod
    public void stop() {
        fixture.close();
    }

    @DataProvider
    public Object[][] malformedHeads() {
        return new Object[][] {
            {"HTTP/1.1 000 None"},
            {"HTTP/1.1 042 None"},
            {"HTTP/1.1 099 None"},
            {"HTTP/1.1 20 OK"},
            {"HTTP/1.1 0202 Accepted"},
            {"HTTP/1.1 +202 Accepted"},
            {"HTTP/1.1 -202 Accepted"},
            {"HTTP/1.1 600 Own"},
            {"HTTP/1.1 999 Own"},
            {"HTTP/1.1 202 Accepted\r\nX Odd: v"},
            {"HTTP/1.1 202 Accepted\r\nX-Odd : v"},
            {"HTTP/1.1 202 Accepted\r\nX-Odd\t: v"},
            {"HTTP/1.1 202 Accepted\r\nContent-Length : 1"},
            {"HTTP/1.1 202 Accepted\r\n X-Odd: v"},
            {"HTTP/1.1 202 Accepted\r\nX\u0001: v"},
        };
    }

    /** Heads that the JDK's client repairs, which hides what it has received. */
    @DataProvider
    public Object[][] repairedHeads() {
        return new Object[][] {
            {"HTTP/1.1 2020 Accepted"},
            {"HTTP/1.1 202Accepted"},
            {"HTTP/1.1 202 Accepted\r\nServer: standin\r\n X-Odd: v"},
            {"HTTP/1.1 202 Accepted\r\nno colon"},
        };
    }

    // Guards against callers who get a status or a header that the backend server has not sent.
    @Test(dataProvider = "malformedHeads")
    public void should_report_no_answer_when_the_head_is_malformed(String head) throws Exception {
        try (StutteringBackend backend = new StutteringBackend(List.of(answer(head)), new byte[0])) {
            HttpBackendCaller caller = fixture.callerOf(backend.address());

            assertEquals(fixture.statusOfCall(caller, 1), BackendCallFixture.NO_STATUS);
        }
    }

    // Guards against the same where the client that the agent uses repairs the head.
    @Test(dataProvider = "repairedHeads", groups = "known-red")
    public void should_report_no_answer_when_the_client_repairs_the_head(String head) throws Exception {
        should_report_no_answer_when_the_head_is_malformed(head);
    }

    // Guards against an order that counts as accepted though the engine has not said so.
    @Test(dataProvider = "malformedHeads")
    public void should_report_unreachable_when_the_head_of_the_answer_to_an_order_is_malformed(String head)
            throws Exception {
        try (StutteringBackend backend = new StutteringBackend(List.of(answer(head)), new byte[0])) {
            HttpEngineControl control = fixture.controlOf(backend.address());

            assertThrows(EngineUnreachableException.class, () -> BackendCallFixture.order(control));
        }
    }

    // Guards against the same where the client that the agent uses repairs the head.
    @Test(dataProvider = "repairedHeads", groups = "known-red")
    public void should_report_unreachable_when_the_client_repairs_the_head_of_the_answer_to_an_order(String head)
            throws Exception {
        should_report_unreachable_when_the_head_of_the_answer_to_an_order_is_malformed(head);
    }

    private static String answer(String head) {
        return head + "\r\nContent-Length: 2\r\n\r\n{}";
    }
}
