package org.aspenmoor.internal.entry;

import org.aspenmoor.internal.platform.CollectionListener;
import org.aspenmoor.internal.platform.WatchedCollection;
import org.aspenmoor.internal.store.ObjectKind;
import org.aspenmoor.internal.store.ObjectStore;

/** Makes followers of the store's collections. */
public interface CollectionFactory {
    /** Makes a follower that is not yet started. */
    WatchedCollection follow(ObjectStore store, ObjectKind kind, CollectionListener listener);
}
