package org.aspenmoor.internal.duty;

/**
 * Carries out one duty; only the duty's own thread calls it.
 *
 * @param <M> the duty's messages
 */
public interface DutyHandler<M> {
    /** Handles the next message. */
    void handle(M message);
}
