package org.aspenmoor.internal.entry;

import org.aspenmoor.internal.store.ObjectKind;
import org.aspenmoor.internal.store.ObjectStore;
import org.aspenmoor.internal.store.client.CollectionListener;
import org.aspenmoor.internal.store.client.WatchedCollection;

/** Creates watches of the store's collections. */
public interface CollectionFactory {
    /** Creates a watched collection that is not yet started. */
    WatchedCollection create(ObjectStore store, ObjectKind kind, CollectionListener listener);
}
