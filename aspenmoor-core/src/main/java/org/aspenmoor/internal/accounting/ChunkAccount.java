package org.aspenmoor.internal.accounting;

import java.util.Optional;
import org.aspenmoor.internal.stream.ChunkVerdict;

/** Counts the chunks that a process received by what became of them; see {@link RequestAccount} for the reason. */
public final class ChunkAccount {
    private long received;
    private long delivered;
    private long discarded;
    private long broken;

    /** Counts a chunk that came in. */
    public void received() {
        received++;
    }

    /** Counts what became of it. */
    public void judged(ChunkVerdict verdict) {
        switch (verdict) {
            case ChunkVerdict.Deliver ignored -> delivered++;
            case ChunkVerdict.Discard ignored -> discarded++;
            case ChunkVerdict.Broken ignored -> broken++;
        }
    }

    /** Counts a chunk of a request that is no longer held. */
    public void discarded() {
        discarded++;
    }

    /** Checks {@code received = delivered + discarded + broken}; returns the difference where it does not hold. */
    public Optional<String> imbalance() {
        if (received == delivered + discarded + broken) {
            return Optional.empty();
        }
        return Optional.of("chunks received " + received + " but delivered " + delivered + ", discarded " + discarded
                + ", broken " + broken);
    }

    /** Returns the counts as they stand. */
    public Totals totals() {
        return new Totals(received, delivered, discarded, broken);
    }

    /**
     * Counts at one moment.
     *
     * @param received chunks that came in
     * @param delivered chunks given to callers
     * @param discarded chunks of old attempts, doubled chunks, chunks after the end
     * @param broken chunks that showed a gap
     */
    public record Totals(long received, long delivered, long discarded, long broken) {}
}
