package org.aspenmoor.internal.entry;

import org.aspenmoor.internal.store.ObjectKind;
import org.aspenmoor.internal.store.ObjectStore;
import org.aspenmoor.internal.store.client.CollectionListener;
import org.aspenmoor.internal.store.client.WatchedCollection;

/** Makes followers of the store's collections. */
public interface CollectionFactory {
    /** Makes a follower that is not yet started. */
    WatchedCollection follow(ObjectStore store, ObjectKind kind, CollectionListener listener);
}
