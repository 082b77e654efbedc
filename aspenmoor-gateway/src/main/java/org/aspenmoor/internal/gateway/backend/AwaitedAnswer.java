package org.aspenmoor.internal.gateway.backend;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import org.aspenmoor.internal.gateway.protocol.AnswerFacts;

/** Collects the complete answer to an HTTP request that the entry sends on its own behalf. */
public final class AwaitedAnswer implements ExchangeListener {
    private static final int MOST_BODY_CHARACTERS = 1_000_000;

    private final CompletableFuture<Answer> done = new CompletableFuture<>();
    private final StringBuilder body = new StringBuilder();
    private int status;

    /** Returns a future that completes with the answer, or exceptionally with an {@link IOException}. */
    public CompletableFuture<Answer> done() {
        return done;
    }

    @Override
    public void head(HttpResponse head, AnswerFacts facts) {
        status = head.status().code();
    }

    @Override
    public void data(ByteBuf part) {
        if (body.length() < MOST_BODY_CHARACTERS) {
            body.append(part.toString(StandardCharsets.UTF_8));
        }
    }

    @Override
    public void complete() {
        done.complete(new Answer(status, body.toString()));
    }

    @Override
    public void neverSent(String reason) {
        done.completeExceptionally(new IOException(reason));
    }

    @Override
    public void broken(String reason) {
        done.completeExceptionally(new IOException(reason));
    }

    /**
     * A complete answer.
     *
     * @param status the HTTP status code
     * @param body the body, decoded as UTF-8; parts that arrive after the size limit is reached are discarded
     */
    public record Answer(int status, String body) {}
}
