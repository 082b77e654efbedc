package org.aspenmoor.internal.store.client;

import org.aspenmoor.internal.store.StoreException;
import org.aspenmoor.internal.store.StoredObject;

/** Receives the changes of a {@link WatchedCollection}, always on the thread of the collection. */
public interface CollectionListener {
    /** All objects are about to be listed; their changes follow, and then {@link #synchronised}. */
    default void listing() {}

    /** An object was created or replaced. */
    void changed(StoredObject object);

    /** An object was deleted; the argument is its last known state. */
    void deleted(StoredObject object);

    /** All differences between the last listing and the previously known objects have been reported. */
    void synchronised();

    /**
     * All changes until a call was answered have been reported.
     *
     * @param generation the generation of the store's history that the answer belongs to
     * @param sentAt when the call was sent, by the monotonic clock in nanoseconds
     */
    default void confirmed(long generation, long sentAt) {}

    /** Changes may be missed from now on, until the next {@link #synchronised()}. */
    void interrupted(StoreException cause);
}
