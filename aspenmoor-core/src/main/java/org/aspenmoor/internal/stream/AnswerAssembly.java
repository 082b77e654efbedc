package org.aspenmoor.internal.stream;

import java.util.zip.CRC32C;

/**
 * Puts one answer together from the frames of its attempts.
 *
 * <p>An attempt that was given up may still send: its agent was paused, or its frames were under way when the link to it
 * was declared lost. Without the attempt number those frames would be mixed into the answer of the next attempt and the
 * caller would read tokens twice. Within an attempt the sequence number shows a doubled or missing chunk, and the last
 * frame's count and checksum show a truncated one.
 */
public final class AnswerAssembly {
    private static final int NO_ATTEMPT = 0;

    private final CRC32C checksum = new CRC32C();
    private int attempt = NO_ATTEMPT;
    private int nextSequence;
    private int deliveredTokens;
    private long deliveredBytes;
    private boolean ended;

    /** Begins the next attempt and returns its number, counted from 1; frames of earlier ones are dropped from now on. */
    public int beginAttempt() {
        attempt++;
        nextSequence = 0;
        checksum.reset();
        return attempt;
    }

    /** Judges a chunk; on {@link ChunkVerdict.Deliver} it counts as delivered. */
    public ChunkVerdict chunk(int chunkAttempt, int sequence, byte[] data, int tokens) {
        if (ended) {
            return new ChunkVerdict.Discard(DiscardReason.AFTER_THE_END);
        }
        if (chunkAttempt != attempt) {
            return new ChunkVerdict.Discard(DiscardReason.OLD_ATTEMPT);
        }
        if (sequence < nextSequence) {
            return new ChunkVerdict.Discard(DiscardReason.DUPLICATE);
        }
        if (sequence > nextSequence) {
            return new ChunkVerdict.Broken("chunk " + nextSequence + " is missing before chunk " + sequence);
        }
        nextSequence++;
        checksum.update(data, 0, data.length);
        deliveredTokens += tokens;
        deliveredBytes += data.length;
        return new ChunkVerdict.Deliver();
    }

    /** Judges the last frame of an attempt that says it is complete; on {@link EndVerdict.Whole} the answer has ended. */
    public EndVerdict complete(int lastAttempt, int count, int expectedChecksum) {
        if (ended) {
            return new EndVerdict.Discard(DiscardReason.AFTER_THE_END);
        }
        if (lastAttempt != attempt) {
            return new EndVerdict.Discard(DiscardReason.OLD_ATTEMPT);
        }
        if (count != nextSequence) {
            return new EndVerdict.Broken("the attempt had " + count + " chunks, " + nextSequence + " arrived");
        }
        if (expectedChecksum != (int) checksum.getValue()) {
            return new EndVerdict.Broken("the checksum over " + count + " chunks does not hold");
        }
        ended = true;
        return new EndVerdict.Whole();
    }

    /** Says whether frames of the given attempt still matter. */
    public boolean isCurrent(int someAttempt) {
        return !ended && someAttempt == attempt;
    }

    /** Returns the number of the current attempt; 0 before the first. */
    public int attempt() {
        return attempt;
    }

    /** Returns how many tokens the caller has been given over all attempts; a resumed attempt goes on after them. */
    public int deliveredTokens() {
        return deliveredTokens;
    }

    /** Returns how many bytes the caller has been given over all attempts. */
    public long deliveredBytes() {
        return deliveredBytes;
    }
}
