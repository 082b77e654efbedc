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
    public void onText(String piece) {
        text.append(piece);
        consumed.incrementAndGet();
    }

    @Override
    public void onGenerationComplete(String finishReason, int promptTokens, int outputTokens) {
        answerStart.complete(new AnswerStart.CompleteText(text.toString(), finishReason, promptTokens, outputTokens));
    }

    @Override
    public void onPlainAnswer(PlainAnswer answer) {
        answerStart.complete(new AnswerStart.PlainServiceAnswer(answer));
    }

    @Override
    public void onRefused(Outcome.NotRun refusal) {
        answerStart.complete(new AnswerStart.Refused(refusal));
    }

    @Override
    public void onUnknown(Outcome.Unknown unknown) {
        answerStart.complete(new AnswerStart.UnknownOutcome(unknown));
    }

    @Override
    public int takeConsumedPieces() {
        return consumed.getAndSet(0);
    }

    @Override
    public boolean isWaitingForCaller() {
        return false;
    }
}
