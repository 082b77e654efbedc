package org.aspenmoor.internal.duty;

import java.util.Optional;

/** One place of a duty's ring. */
final class RingSlot<M> {
    private Optional<M> message = Optional.empty();

    void put(M newMessage) {
        message = Optional.of(newMessage);
    }

    /** Empties the slot, so that the ring keeps nothing alive that was handled. */
    Optional<M> take() {
        Optional<M> current = message;
        message = Optional.empty();
        return current;
    }
}
