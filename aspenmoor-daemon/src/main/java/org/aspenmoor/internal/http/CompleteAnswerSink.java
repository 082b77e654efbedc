package org.aspenmoor.internal.http;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.aspenmoor.Outcome;
import org.aspenmoor.internal.entry.CallerSink;
import org.aspenmoor.internal.entry.PlainAnswer;

/** Collects an answer and delivers it to the caller when it is complete. */
final class CompleteAnswerSink implements CallerSink {
    private final CompletableFuture<AnswerStart> answerStart = new CompletableFuture<>();
    private final StringBuilder text = new StringBuilder();
    private final AtomicInteger consumed = new AtomicInteger();

    CompletableFuture<AnswerStart> answerStart() {
        return answerStart;
    }

    @Override
    public void piece(String piece) {
        text.append(piece);
        consumed.incrementAndGet();
    }

    @Override
    public void generationDone(String finishReason, int promptTokens, int outputTokens) {
        answerStart.complete(new AnswerStart.CompleteText(text.toString(), finishReason, promptTokens, outputTokens));
    }

    @Override
    public void plainAnswer(PlainAnswer answer) {
        answerStart.complete(new AnswerStart.PlainServiceAnswer(answer));
    }

    @Override
    public void refused(Outcome.NotRun refusal) {
        answerStart.complete(new AnswerStart.Refused(refusal));
    }

    @Override
    public void unknown(Outcome.Unknown unknown) {
        answerStart.complete(new AnswerStart.UnknownOutcome(unknown));
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
