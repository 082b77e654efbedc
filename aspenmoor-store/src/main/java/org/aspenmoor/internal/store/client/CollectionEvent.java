package org.aspenmoor.internal.store.client;

import org.aspenmoor.internal.store.StoreException;
import org.aspenmoor.internal.store.StoredObject;

/** An event of a watch. */
sealed interface CollectionEvent {
    /**
     * An object was created or replaced.
     *
     * @param object the new state of the object
     */
    record Changed(StoredObject object) implements CollectionEvent {}

    /**
     * An object was deleted.
     *
     * @param object the last state of the object
     */
    record Deleted(StoredObject object) implements CollectionEvent {}

    /**
     * All changes until a call was answered have been received.
     *
     * @param generation the generation of the store's history that the answer belongs to
     * @param sentAt when the call was sent, by the monotonic clock in nanoseconds
     */
    record Confirmed(long generation, long sentAt) implements CollectionEvent {}

    /**
     * The watch ended.
     *
     * @param cause why it ended
     */
    record Ended(StoreException cause) implements CollectionEvent {}
}
