package org.aspenmoor.internal.http;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.aspenmoor.Outcome;
import org.aspenmoor.internal.entry.CallerSink;
import org.aspenmoor.internal.entry.PlainAnswer;

/** Collects an answer and gives it to the caller whole. */
final class WholeSink implements CallerSink {
    private final CompletableFuture<FirstSignal> signal = new CompletableFuture<>();
    private final StringBuilder text = new StringBuilder();
    private final AtomicInteger taken = new AtomicInteger();

    CompletableFuture<FirstSignal> signal() {
        return signal;
    }

    @Override
    public void onText(String piece) {
        text.append(piece);
        taken.incrementAndGet();
    }

    @Override
    public void onGenerationComplete(String finishReason, int promptTokens, int outputTokens) {
        signal.complete(new FirstSignal.WholeText(text.toString(), finishReason, promptTokens, outputTokens));
    }

    @Override
    public void onPlainAnswer(PlainAnswer answer) {
        signal.complete(new FirstSignal.Plain(answer));
    }

    @Override
    public void onRefused(Outcome.NotRun refusal) {
        signal.complete(new FirstSignal.Refused(refusal));
    }

    @Override
    public void onUnknown(Outcome.Unknown unknown) {
        signal.complete(new FirstSignal.Lost(unknown));
    }

    @Override
    public int takeConsumedPieces() {
        return taken.getAndSet(0);
    }

    @Override
    public boolean isWaitingForCaller() {
        return false;
    }
}
