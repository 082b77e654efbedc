package org.aspenmoor.internal.agent;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import org.aspenmoor.RequestId;
import org.aspenmoor.internal.duty.Worker;
import org.aspenmoor.internal.engine.EngineOrder;
import org.aspenmoor.internal.engine.EngineUnreachableException;
import org.aspenmoor.internal.engine.FencedOrder;
import org.aspenmoor.internal.wire.v1.Dispatch;
import org.aspenmoor.internal.wire.v1.PlainCall;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Answers of backend servers whose head is malformed. */
public class MalformedHeadTest {
    private static final int NO_STATUS = 0;
    private static final FencedOrder ORDER = new FencedOrder("order", 1, new EngineOrder.LoadModel("model", "1"));

    private final BlockingQueue<AgentMessage> messages = new LinkedBlockingQueue<>();
    private Worker<AgentMessage> eventLoop;
    private ExecutorService threads;

    @BeforeMethod
    public void start() {
        messages.clear();
        eventLoop = new Worker<>("agent-events", 64, messages::add);
        eventLoop.start();
        threads = Executors.newFixedThreadPool(2);
    }

    @AfterMethod
    public void stop() {
        threads.close();
        eventLoop.close();
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
            HttpBackendCaller caller = new HttpBackendCaller(new BackendClients(threads), backend.address(), eventLoop);

            assertEquals(statusOfCall(caller), NO_STATUS);
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
            HttpEngineControl control = new HttpEngineControl(new BackendClients(threads), backend.address());

            assertThrows(EngineUnreachableException.class, () -> control.order(ORDER));
        }
    }

    // Guards against the same where the client that the agent uses repairs the head.
    @Test(dataProvider = "repairedHeads", groups = "known-red")
    public void should_report_unreachable_when_the_client_repairs_the_head_of_the_answer_to_an_order(String head)
            throws Exception {
        should_report_unreachable_when_the_head_of_the_answer_to_an_order_is_malformed(head);
    }

    /** Makes a call and returns the status of its answer; {@link #NO_STATUS} if there was none. */
    private int statusOfCall(HttpBackendCaller caller) throws InterruptedException {
        PlainCall plain = PlainCall.newBuilder()
                .setMethod("POST")
                .setPath("/bookings")
                .setBody(ByteString.copyFromUtf8("{}"))
                .build();
        AttemptKey key = new AttemptKey(new RequestId(1, 2), 1);
        BackendCall call =
                caller.start(key, Dispatch.newBuilder().setPlainCall(plain).build());
        int status = NO_STATUS;
        while (true) {
            switch (messages.take()) {
                case AgentMessage.AnswerStarted started -> status = started.status();
                case AgentMessage.PiecesArrived pieces -> call.requestMore();
                case AgentMessage.AnswerEnded ended -> {
                    return status;
                }
                default -> throw new IllegalStateException("unexpected message");
            }
        }
    }

    private static String answer(String head) {
        return head + "\r\nContent-Length: 2\r\n\r\n{}";
    }
}
