package org.aspenmoor.internal.http;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.aspenmoor.Outcome;
import org.aspenmoor.internal.entry.CallerSink;
import org.aspenmoor.internal.entry.PlainAnswer;

/** Collects an answer and gives it to the caller whole. */
final class CompleteAnswerSink implements CallerSink {
    private final CompletableFuture<AnswerStart> start = new CompletableFuture<>();
    private final StringBuilder text = new StringBuilder();
    private final AtomicInteger consumed = new AtomicInteger();

    CompletableFuture<AnswerStart> start() {
        return start;
    }

    @Override
    public void piece(String piece) {
        text.append(piece);
        consumed.incrementAndGet();
    }

    @Override
    public void generationDone(String finishReason, int promptTokens, int outputTokens) {
        start.complete(new AnswerStart.CompleteText(text.toString(), finishReason, promptTokens, outputTokens));
    }

    @Override
    public void plainAnswer(PlainAnswer answer) {
        start.complete(new AnswerStart.PlainServiceAnswer(answer));
    }

    @Override
    public void refused(Outcome.NotRun refusal) {
        start.complete(new AnswerStart.Refused(refusal));
    }

    @Override
    public void unknown(Outcome.Unknown unknown) {
        start.complete(new AnswerStart.UnknownOutcome(unknown));
    }

    @Override
    public int takeTaken() {
        return consumed.getAndSet(0);
    }

    @Override
    public boolean isHeldByCaller() {
        return false;
    }
}
