package org.aspenmoor.internal.accounting;

import java.util.Optional;
import org.aspenmoor.internal.stream.ChunkDecision;

/** Counts the chunks received by a process and their outcomes; see {@link RequestCounters} for the purpose. */
public final class ChunkCounters {
    private long received;
    private long delivered;
    private long discarded;
    private long broken;

    /** Counts a received chunk. */
    public void countReceived() {
        received++;
    }

    /** Counts the decision on a received chunk. */
    public void countDecision(ChunkDecision decision) {
        switch (decision) {
            case ChunkDecision.Deliver ignored -> delivered++;
            case ChunkDecision.Discard ignored -> discarded++;
            case ChunkDecision.Broken ignored -> broken++;
        }
    }

    /** Counts a received chunk that was discarded because its request is no longer in flight. */
    public void countDiscarded() {
        discarded++;
    }

    /**
     * Checks {@code received = delivered + discarded + broken}; returns a description of the difference, if any.
     */
    public Optional<String> imbalance() {
        if (received == delivered + discarded + broken) {
            return Optional.empty();
        }
        return Optional.of("chunks received " + received + " but delivered " + delivered + ", discarded " + discarded
                + ", broken " + broken);
    }

    /** Returns the current counts. */
    public Totals totals() {
        return new Totals(received, delivered, discarded, broken);
    }

    /**
     * The counts at one point in time.
     *
     * @param received chunks received
     * @param delivered chunks delivered to callers
     * @param discarded chunks of abandoned attempts, duplicate chunks, and chunks after the end of the answer
     * @param broken chunks that revealed a missing chunk
     */
    public record Totals(long received, long delivered, long discarded, long broken) {}
}
