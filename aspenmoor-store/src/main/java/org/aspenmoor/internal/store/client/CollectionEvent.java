package org.aspenmoor.internal.store.client;

import org.aspenmoor.internal.store.StoreException;
import org.aspenmoor.internal.store.StoredObject;

/** One thing that a watch told. */
sealed interface CollectionEvent {
    /**
     * An object was created or replaced.
     *
     * @param object the object as it is now
     */
    record Changed(StoredObject object) implements CollectionEvent {}

    /**
     * An object was deleted.
     *
     * @param object the object as it last was
     */
    record Deleted(StoredObject object) implements CollectionEvent {}

    /**
     * The watch ended.
     *
     * @param cause why
     */
    record Ended(StoreException cause) implements CollectionEvent {}
}
