package org.aspenmoor.internal.agent;

import java.util.Optional;

/** Counts the dispatches an agent received by what became of them. */
final class DispatchCounts {
    private final AgentMetrics metrics;
    private long received;
    private long refused;
    private long complete;
    private long failed;
    private long cancelled;

    DispatchCounts(AgentMetrics metrics) {
        this.metrics = metrics;
    }

    void recordReceived() {
        received++;
    }

    void recordRefused() {
        refused++;
        metrics.recordEnd("refused");
    }

    void recordEnd(CallEnd end) {
        switch (end) {
            case CallEnd.Complete ignored -> {
                complete++;
                metrics.recordEnd("complete");
            }
            case CallEnd.NeverStarted ignored -> recordRefused();
            case CallEnd.Failed ignored -> {
                failed++;
                metrics.recordEnd("failed");
            }
        }
    }

    void recordCancelled() {
        cancelled++;
        metrics.recordEnd("cancelled");
    }

    /** Checks {@code received = refused + complete + failed + cancelled + running}. */
    Optional<String> imbalance(long running) {
        long sum = refused + complete + failed + cancelled + running;
        if (received == sum) {
            return Optional.empty();
        }
        return Optional.of("dispatches received " + received + " but accounted for " + sum);
    }

    Totals totals() {
        return new Totals(received, refused, complete, failed, cancelled);
    }

    /** Counts at one moment. */
    record Totals(long received, long refused, long complete, long failed, long cancelled) {}
}
