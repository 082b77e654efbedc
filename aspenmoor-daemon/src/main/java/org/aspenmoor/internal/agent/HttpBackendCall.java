package org.aspenmoor.internal.agent;

import java.net.ConnectException;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Flow;
import org.aspenmoor.internal.duty.Worker;
import org.aspenmoor.internal.store.client.DiscardingSubscriber;
import org.aspenmoor.internal.wire.v1.Header;

/** One call over HTTP. Reads the answer only as fast as the event loop requests it. */
final class HttpBackendCall implements BackendCall, Flow.Subscriber<List<ByteBuffer>> {
    private static final int OK = 200;
    private static final int MAX_STATUS_CODE = 599;
    private static final Set<String> HOP_BY_HOP =
            Set.of("connection", "transfer-encoding", "content-length", "keep-alive", "upgrade", ":status");

    private final AttemptKey key;
    private final Worker<AgentMessage> eventLoop;
    private final AnswerDecoder decoder;
    private final boolean isGeneration;
    private final Object lock = new Object();
    private Optional<Flow.Subscription> subscription = Optional.empty();
    private Optional<CompletableFuture<?>> pendingResponse = Optional.empty();
    private boolean cancelled;
    private boolean ended;

    HttpBackendCall(AttemptKey key, Worker<AgentMessage> eventLoop, AnswerDecoder decoder, boolean isGeneration) {
        this.key = key;
        this.eventLoop = eventLoop;
        this.decoder = decoder;
        this.isGeneration = isGeneration;
    }

    /** Sends the request with a client that makes no other call. */
    void start(HttpClient client, HttpRequest request) {
        CompletableFuture<HttpResponse<Flow.Publisher<List<ByteBuffer>>>> pending =
                client.sendAsync(request, BodyHandlers.ofPublisher());
        client.shutdown();
        synchronized (lock) {
            pendingResponse = Optional.of(pending);
        }
        pending.whenComplete((response, failure) -> {
            if (failure != null) {
                sendFailed(failure);
            } else {
                handleResponse(response);
            }
        });
    }

    @Override
    public void requestMore() {
        Optional<Flow.Subscription> current;
        synchronized (lock) {
            current = subscription;
        }
        current.ifPresent(active -> active.request(1));
    }

    @Override
    public void cancel() {
        Optional<Flow.Subscription> current;
        Optional<CompletableFuture<?>> request;
        synchronized (lock) {
            cancelled = true;
            current = subscription;
            request = pendingResponse;
        }
        current.ifPresent(Flow.Subscription::cancel);
        request.ifPresent(future -> future.cancel(true));
    }

    @Override
    public void onSubscribe(Flow.Subscription newSubscription) {
        boolean cancelledBefore;
        synchronized (lock) {
            subscription = Optional.of(newSubscription);
            cancelledBefore = cancelled;
        }
        if (cancelledBefore) {
            newSubscription.cancel();
            return;
        }
        newSubscription.request(1);
    }

    @Override
    public void onNext(List<ByteBuffer> buffers) {
        try {
            eventLoop.put(new AgentMessage.PiecesArrived(key, decoder.decode(buffers)));
        } catch (AnswerMalformedException malformed) {
            cancel();
            end(new CallEnd.Failed(malformed.problem()));
        }
    }

    @Override
    public void onError(Throwable failure) {
        end(new CallEnd.Failed("the connection to the backend server failed: " + failure.getMessage()));
    }

    @Override
    public void onComplete() {
        end(decoder.end());
    }

    private void handleResponse(HttpResponse<Flow.Publisher<List<ByteBuffer>>> response) {
        if (isGeneration && response.statusCode() != OK) {
            refuse(response, "the engine answered with status " + response.statusCode());
            return;
        }
        // The JDK's client refuses only numbers below 100.
        if (response.statusCode() > MAX_STATUS_CODE) {
            refuse(response, "the status code is not a number from 100 to 599: " + response.statusCode());
            return;
        }
        eventLoop.put(new AgentMessage.AnswerStarted(key, response.statusCode(), headersOf(response)));
        response.body().subscribe(this);
    }

    private void refuse(HttpResponse<Flow.Publisher<List<ByteBuffer>>> response, String problem) {
        end(new CallEnd.Failed(problem));
        response.body().subscribe(new DiscardingSubscriber());
    }

    private void sendFailed(Throwable failure) {
        Throwable cause = failure.getCause() == null ? failure : failure.getCause();
        String detail = cause.getClass().getSimpleName() + " " + cause.getMessage();
        if (cause instanceof ConnectException) {
            end(new CallEnd.NeverStarted("cannot connect to the backend server: " + detail));
        } else {
            end(new CallEnd.Failed("the call to the backend server failed: " + detail));
        }
    }

    private void end(CallEnd end) {
        synchronized (lock) {
            if (ended) {
                return;
            }
            ended = true;
        }
        eventLoop.put(new AgentMessage.AnswerEnded(key, end));
    }

    private static List<Header> headersOf(HttpResponse<?> response) {
        List<Header> headers = new ArrayList<>();
        response.headers().map().forEach((name, values) -> {
            if (!HOP_BY_HOP.contains(name)) {
                values.forEach(value -> headers.add(
                        Header.newBuilder().setName(name).setValue(value).build()));
            }
        });
        return headers;
    }
}
