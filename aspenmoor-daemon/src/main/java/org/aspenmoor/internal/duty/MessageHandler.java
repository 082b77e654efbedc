package org.aspenmoor.internal.duty;

/**
 * Carries out one duty; only the duty's own thread calls it.
 *
 * @param <M> the duty's messages
 */
public interface MessageHandler<M> {
    /** Handles the next message. */
    void handle(M message);

    /** Called when the ring is empty for now, so that what was handled can be finished together. */
    default void batchEnded() {}
}
