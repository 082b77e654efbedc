package org.aspenmoor.internal.store;

/** Hears of changes in the store. */
public interface StoreWatchListener {
    /** An object was created or replaced. */
    void changed(StoredObject object);

    /** An object was deleted; the object is as it last was. */
    void deleted(StoredObject object);

    /** The watch ended, by an error or because the store no longer has the version asked for. */
    void ended(StoreException cause);
}
