package org.aspenmoor.internal.fake;

import org.aspenmoor.internal.store.ObjectKey;

/** Injects faults into the store calls of one process, and runs actions while a call is in transit. */
public interface StoreCallFaults {
    /** Injects no faults. */
    StoreCallFaults NONE = new StoreCallFaults() {};

    /** Returns the fault of a read. */
    default StoreFault onRead(ObjectKey key) {
        return StoreFault.NONE;
    }

    /** Returns the fault of a write. */
    default StoreFault onWrite(ObjectKey key) {
        return StoreFault.NONE;
    }

    /** Called when a write was sent and has not yet arrived; the clock may advance and other processes may act. */
    default void beforeEffect(ObjectKey key) {}

    /** Called when a write has taken effect and its response has not yet arrived. */
    default void afterEffect(ObjectKey key) {}
}
