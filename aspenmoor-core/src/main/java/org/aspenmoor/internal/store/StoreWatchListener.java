package org.aspenmoor.internal.store;

/** Receives the events of a watch. */
public interface StoreWatchListener {
    /** An object was created or replaced. */
    void changed(StoredObject object);

    /** An object was deleted; the argument is its last state. */
    void deleted(StoredObject object);

    /** The watch ended because of an error, or because the store no longer has the requested version. */
    void ended(StoreException cause);
}
