package org.aspenmoor.internal.store;

/** Receives the events of a watch. */
public interface StoreWatchListener {
    /** An object was created or replaced. */
    void changed(StoredObject object);

    /** An object was deleted; the argument is its last state. */
    void deleted(StoredObject object);

    /**
     * A call returned all changes until it was answered, and they have been passed on.
     *
     * @param generation the generation of the store's history that the answer belongs to
     * @param sentAt when the call was sent, by the monotonic clock in nanoseconds
     */
    default void confirmed(long generation, long sentAt) {}

    /** The watch ended because of an error, or because the store no longer has the requested version. */
    void ended(StoreException cause);
}
