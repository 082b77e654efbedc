package org.aspenmoor.internal.agent;

import java.util.Optional;

/** Counts the dispatches received by an agent, by their outcome. */
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

    /**
     * Checks {@code received = refused + complete + failed + cancelled + running}; returns a description of any
     * difference.
     */
    Optional<String> imbalance(long running) {
        long sum = refused + complete + failed + cancelled + running;
        if (received == sum) {
            return Optional.empty();
        }
        return Optional.of(
                "received " + received + " dispatches, but the outcomes and running attempts add up to " + sum);
    }

    Totals totals() {
        return new Totals(received, refused, complete, failed, cancelled);
    }

    /** A snapshot of the counts. */
    record Totals(long received, long refused, long complete, long failed, long cancelled) {}
}
