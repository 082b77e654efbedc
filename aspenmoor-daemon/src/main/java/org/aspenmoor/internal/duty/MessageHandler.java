package org.aspenmoor.internal.duty;

/**
 * Handles the messages of one worker; called only on that worker's thread.
 *
 * @param <M> the type of the messages
 */
public interface MessageHandler<M> {
    /** Handles one message. */
    void handle(M message);

    /** Called after the last message available in the ring buffer, for work to be done once per batch. */
    default void batchEnded() {}
}
