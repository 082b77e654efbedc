package org.aspenmoor.internal.agent;

import java.util.Optional;

/** Counts the dispatches an agent received by what became of them. */
final class AgentAccount {
    private final AgentMetrics metrics;
    private long received;
    private long refused;
    private long complete;
    private long failed;
    private long cancelled;

    AgentAccount(AgentMetrics metrics) {
        this.metrics = metrics;
    }

    void received() {
        received++;
    }

    void refused() {
        refused++;
        metrics.ended("refused");
    }

    void ended(CallEnd end) {
        switch (end) {
            case CallEnd.Complete ignored -> {
                complete++;
                metrics.ended("complete");
            }
            case CallEnd.NeverStarted ignored -> refused();
            case CallEnd.Failed ignored -> {
                failed++;
                metrics.ended("failed");
            }
        }
    }

    void cancelled() {
        cancelled++;
        metrics.ended("cancelled");
    }

    /** Checks {@code received = refused + complete + failed + cancelled + running}. */
    Optional<String> imbalance(long running) {
        long accounted = refused + complete + failed + cancelled + running;
        if (received == accounted) {
            return Optional.empty();
        }
        return Optional.of("dispatches received " + received + " but accounted for " + accounted);
    }

    Totals totals() {
        return new Totals(received, refused, complete, failed, cancelled);
    }

    /** Counts at one moment. */
    record Totals(long received, long refused, long complete, long failed, long cancelled) {}
}
