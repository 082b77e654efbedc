package org.aspenmoor.internal.stream;

import java.util.zip.CRC32C;

/**
 * Assembles one answer from the frames of its attempts.
 *
 * <p>An abandoned attempt may still deliver frames: its agent was paused, or the frames were in transit when the link
 * was declared lost. Without the attempt number those frames would be mixed into the answer of the next attempt, and
 * the caller would receive tokens twice. Within an attempt the sequence number detects a duplicate or missing chunk,
 * and the count and checksum in the last frame detect truncated or corrupted data.
 */
public final class AnswerAssembler {
    private static final int NO_ATTEMPT = 0;

    private final CRC32C checksum = new CRC32C();
    private int attempt = NO_ATTEMPT;
    private int nextSequence;
    private int deliveredTokens;
    private long deliveredBytes;
    private boolean ended;

    /** Begins the next attempt and returns its number, starting at 1; frames of earlier attempts are discarded. */
    public int beginAttempt() {
        attempt++;
        nextSequence = 0;
        checksum.reset();
        return attempt;
    }

    /** Decides what to do with a chunk; on {@link ChunkDecision.Deliver} it counts as delivered. */
    public ChunkDecision onChunk(int chunkAttempt, int sequence, byte[] data, int tokens) {
        if (ended) {
            return new ChunkDecision.Discard(DiscardReason.AFTER_THE_END);
        }
        if (chunkAttempt != attempt) {
            return new ChunkDecision.Discard(DiscardReason.OLD_ATTEMPT);
        }
        if (sequence < nextSequence) {
            return new ChunkDecision.Discard(DiscardReason.DUPLICATE);
        }
        if (sequence > nextSequence) {
            return new ChunkDecision.Broken("chunk " + nextSequence + " is missing before chunk " + sequence);
        }
        nextSequence++;
        checksum.update(data, 0, data.length);
        deliveredTokens += tokens;
        deliveredBytes += data.length;
        return new ChunkDecision.Deliver();
    }

    /**
     * Decides what to do with the last frame of an attempt that reports a complete answer; on {@link
     * EndDecision.Complete} the answer has ended.
     */
    public EndDecision onLastFrame(int lastAttempt, int count, int expectedChecksum) {
        if (ended) {
            return new EndDecision.Discard(DiscardReason.AFTER_THE_END);
        }
        if (lastAttempt != attempt) {
            return new EndDecision.Discard(DiscardReason.OLD_ATTEMPT);
        }
        if (count != nextSequence) {
            return new EndDecision.Broken("the attempt sent " + count + " chunks but " + nextSequence + " arrived");
        }
        if (expectedChecksum != (int) checksum.getValue()) {
            return new EndDecision.Broken("the checksum over " + count + " chunks does not match");
        }
        ended = true;
        return new EndDecision.Complete();
    }

    /** Returns whether frames of the given attempt are still processed. */
    public boolean isCurrent(int frameAttempt) {
        return !ended && frameAttempt == attempt;
    }

    /** Returns the number of the current attempt; 0 before the first attempt. */
    public int attempt() {
        return attempt;
    }

    /**
     * Returns the number of tokens delivered to the caller over all attempts; a resumed attempt continues after them.
     */
    public int deliveredTokens() {
        return deliveredTokens;
    }

    /** Returns the number of bytes delivered to the caller over all attempts. */
    public long deliveredBytes() {
        return deliveredBytes;
    }
}
