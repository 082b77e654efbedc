package org.aspenmoor.internal.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.aspenmoor.Outcome;

/** Records what the caller would receive. */
final class RecordingSink implements CallerSink {
    private final List<String> pieces = new ArrayList<>();
    private Optional<String> end = Optional.empty();
    private Optional<Outcome.NotRun> refusal = Optional.empty();
    private boolean reading = true;
    private int consumed;

    /** Stops consuming pieces, like a caller whose connection is full. */
    void stopReading() {
        reading = false;
    }

    void resumeReading() {
        reading = true;
        consumed = pieces.size();
    }

    String text() {
        return String.join("", pieces);
    }

    Optional<String> end() {
        return end;
    }

    Optional<Outcome.NotRun> refusal() {
        return refusal;
    }

    @Override
    public void onText(String text) {
        pieces.add(text);
        if (reading) {
            consumed++;
        }
    }

    @Override
    public void onGenerationComplete(String finishReason, int promptTokens, int outputTokens) {
        end = Optional.of("complete");
    }

    @Override
    public void onPlainAnswer(PlainAnswer answer) {
        end = Optional.of("status " + answer.status());
    }

    @Override
    public void onRefused(Outcome.NotRun newRefusal) {
        refusal = Optional.of(newRefusal);
        end = Optional.of("not run");
    }

    @Override
    public void onUnknown(Outcome.Unknown unknown) {
        end = Optional.of("unknown");
    }

    @Override
    public int takeConsumedPieces() {
        int count = consumed;
        consumed = 0;
        return count;
    }

    @Override
    public boolean isWaitingForCaller() {
        return !reading;
    }
}
