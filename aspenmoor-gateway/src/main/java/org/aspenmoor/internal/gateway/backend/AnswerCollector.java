package org.aspenmoor.internal.gateway.backend;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import org.aspenmoor.internal.gateway.protocol.AnswerMetadata;

/** Collects the complete answer to an HTTP request that the entry sends on its own behalf. */
public final class AnswerCollector implements ExchangeListener {
    private static final int MAX_BODY_BYTES = 1_000_000;

    private final CompletableFuture<Answer> future = new CompletableFuture<>();
    private final StringBuilder body = new StringBuilder();
    private int status;

    /** Returns a future that completes with the answer, or exceptionally with an {@link IOException}. */
    public CompletableFuture<Answer> future() {
        return future;
    }

    @Override
    public void headReceived(HttpResponse head, AnswerMetadata metadata) {
        status = head.status().code();
    }

    @Override
    public long maxBodyBytes() {
        return MAX_BODY_BYTES;
    }

    @Override
    public void dataReceived(ByteBuf part) {
        body.append(part.toString(StandardCharsets.UTF_8));
    }

    @Override
    public void completed() {
        future.complete(new Answer(status, body.toString()));
    }

    @Override
    public void neverSent(String reason) {
        future.completeExceptionally(new IOException(reason));
    }

    @Override
    public void failed(String reason) {
        future.completeExceptionally(new IOException(reason));
    }

    /**
     * A complete answer.
     *
     * @param status the HTTP status code
     * @param body the body, decoded as UTF-8
     */
    public record Answer(int status, String body) {}
}
