package org.aspenmoor.internal.store.client;

import org.aspenmoor.internal.store.StoreException;
import org.aspenmoor.internal.store.StoredObject;

/** Hears what a {@link WatchedCollection} learns; always on the collection's own thread. */
public interface CollectionListener {
    /** An object was created or replaced. */
    void changed(StoredObject object);

    /** An object was deleted; the object is as it last was. */
    void deleted(StoredObject object);

    /** Everything that the store held at the last listing has been told. */
    void synchronised();

    /** From now on changes may be missed, until the next {@link #synchronised()}. */
    void interrupted(StoreException cause);
}
