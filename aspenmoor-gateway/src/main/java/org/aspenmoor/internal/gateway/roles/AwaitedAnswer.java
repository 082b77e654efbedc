package org.aspenmoor.internal.gateway.roles;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import org.aspenmoor.internal.gateway.backend.ExchangeListener;
import org.aspenmoor.internal.gateway.protocol.AnswerFacts;

/** Collects the short answer to a call that a duty's thread waits for. */
final class AwaitedAnswer implements ExchangeListener {
    private static final int MOST_BODY_CHARACTERS = 65_536;

    private final CompletableFuture<Answer> done = new CompletableFuture<>();
    private final StringBuilder body = new StringBuilder();
    private int status;

    CompletableFuture<Answer> done() {
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
     * A whole answer.
     *
     * @param status its HTTP status
     * @param body its body
     */
    record Answer(int status, String body) {}
}
