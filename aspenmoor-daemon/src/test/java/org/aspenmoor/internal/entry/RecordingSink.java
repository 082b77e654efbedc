package org.aspenmoor.internal.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.aspenmoor.Outcome;

/** Keeps what a caller would have been given. */
final class RecordingSink implements CallerSink {
    private final List<String> pieces = new ArrayList<>();
    private Optional<String> end = Optional.empty();
    private Optional<Outcome.NotRun> refusal = Optional.empty();
    private boolean reads = true;
    private int taken;

    /** Stops reading, as a caller with a full connection does. */
    void stopReading() {
        reads = false;
    }

    void readAll() {
        reads = true;
        taken = pieces.size();
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
    public void piece(String text) {
        pieces.add(text);
        if (reads) {
            taken++;
        }
    }

    @Override
    public void generationDone(String finishReason, int promptTokens, int outputTokens) {
        end = Optional.of("whole");
    }

    @Override
    public void plainAnswer(PlainAnswer answer) {
        end = Optional.of("status " + answer.status());
    }

    @Override
    public void refused(Outcome.NotRun newRefusal) {
        refusal = Optional.of(newRefusal);
        end = Optional.of("not run");
    }

    @Override
    public void unknown(Outcome.Unknown unknown) {
        end = Optional.of("unknown");
    }

    @Override
    public int takeTaken() {
        int count = taken;
        taken = 0;
        return count;
    }

    @Override
    public boolean isHeldByCaller() {
        return !reads;
    }
}
