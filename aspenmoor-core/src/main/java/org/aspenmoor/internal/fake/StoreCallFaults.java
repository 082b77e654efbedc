package org.aspenmoor.internal.fake;

import org.aspenmoor.internal.store.ObjectKey;

/** Decides what goes wrong with the calls of one process, and what else happens while a call is on its way. */
public interface StoreCallFaults {
    /** Nothing goes wrong. */
    StoreCallFaults NONE = new StoreCallFaults() {};

    /** Returns the fault of a read. */
    default StoreFault onRead(ObjectKey key) {
        return StoreFault.NONE;
    }

    /** Returns the fault of a write. */
    default StoreFault onWrite(ObjectKey key) {
        return StoreFault.NONE;
    }

    /** Called when a write has left its process and has not yet arrived; time may pass and others may act. */
    default void beforeEffect(ObjectKey key) {}

    /** Called when a write has taken effect and its answer has not yet arrived. */
    default void afterEffect(ObjectKey key) {}
}
