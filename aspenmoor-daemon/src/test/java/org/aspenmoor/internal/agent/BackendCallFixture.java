package org.aspenmoor.internal.agent;

import com.google.protobuf.ByteString;
import java.net.URI;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import org.aspenmoor.RequestId;
import org.aspenmoor.internal.duty.Worker;
import org.aspenmoor.internal.engine.EngineOrder;
import org.aspenmoor.internal.engine.EngineRefusedOrderException;
import org.aspenmoor.internal.engine.EngineUnreachableException;
import org.aspenmoor.internal.engine.FencedOrder;
import org.aspenmoor.internal.wire.v1.Dispatch;
import org.aspenmoor.internal.wire.v1.PlainCall;

/** Calls a backend server as an agent does, and gives it orders. */
final class BackendCallFixture implements AutoCloseable {
    /** What is returned in place of a status if a call has had no answer. */
    static final int NO_STATUS = 0;

    private static final int EVENT_CAPACITY = 64;
    private static final FencedOrder ORDER = new FencedOrder("order", 1, new EngineOrder.LoadModel("model", "1"));

    private final BlockingQueue<AgentMessage> messages = new LinkedBlockingQueue<>();
    private final Worker<AgentMessage> eventLoop = new Worker<>("agent-events", EVENT_CAPACITY, messages::add);
    private final ExecutorService threads = Executors.newFixedThreadPool(2);

    BackendCallFixture() {
        eventLoop.start();
    }

    HttpBackendCaller callerOf(URI backend) {
        return new HttpBackendCaller(new BackendClients(threads), backend, eventLoop);
    }

    HttpEngineControl controlOf(URI backend) {
        return new HttpEngineControl(new BackendClients(threads), backend);
    }

    /** Makes a call and returns the status of its answer; {@link #NO_STATUS} if there was none. */
    int statusOfCall(HttpBackendCaller caller, int attempt) throws InterruptedException {
        PlainCall plain = PlainCall.newBuilder()
                .setMethod("POST")
                .setPath("/bookings")
                .setBody(ByteString.copyFromUtf8("{}"))
                .build();
        AttemptKey key = new AttemptKey(new RequestId(1, 2), attempt);
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

    /** Gives an order; returns normally only if the engine has accepted it. */
    static void order(HttpEngineControl control) throws EngineRefusedOrderException, EngineUnreachableException {
        control.order(ORDER);
    }

    @Override
    public void close() {
        threads.close();
        eventLoop.close();
    }
}
