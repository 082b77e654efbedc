package org.aspenmoor.internal.duty;

import java.util.Optional;

/** A slot of a worker's ring buffer. */
final class RingSlot<M> {
    private Optional<M> message = Optional.empty();

    void put(M newMessage) {
        message = Optional.of(newMessage);
    }

    /** Removes and returns the message, so that the ring buffer does not retain handled messages. */
    Optional<M> take() {
        Optional<M> current = message;
        message = Optional.empty();
        return current;
    }
}
