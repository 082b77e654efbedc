package org.aspenmoor.internal.store;

import java.util.List;
import java.util.Optional;

/**
 * The platform's object store.
 *
 * <p>Calls block; only threads whose duty it is to talk to the store make them. Each call, and each waiting watch,
 * counts against the store's budget.
 */
public interface ObjectStore {
    /**
     * Returns the generation of the store's history, as far as its answers have told. It rises where the store came back
     * from an older copy; versions of objects differ between generations. Zero for stores that never do.
     */
    default long generation() {
        return 0;
    }

    /** Reads one object; empty where there is none. */
    Optional<StoredObject> read(ObjectKey key) throws StoreException;

    /** Lists the objects of a kind over all namespaces, with the version to start a watch from. */
    StoreListing list(ObjectKind kind) throws StoreException;

    /** Lists the objects of a kind in one namespace. */
    List<StoredObject> list(ObjectKind kind, String namespace) throws StoreException;

    /**
     * Creates an object if there is none of that name.
     *
     * @throws StoreConflictException where one exists already; nothing was written
     * @throws StoreOutcomeUnknownException where the answer was lost; settle by reading
     */
    StoredObject create(ObjectKey key, String value) throws StoreException;

    /**
     * Replaces an object if it still has the version that was read.
     *
     * @throws StoreConflictException where the version has moved on or the object is gone; nothing was written
     * @throws StoreOutcomeUnknownException where the answer was lost; settle by reading
     */
    StoredObject update(StoredObject read, String value) throws StoreException;

    /**
     * Deletes an object if it still has the version that was read.
     *
     * @throws StoreConflictException where the version has moved on; nothing was deleted
     */
    void delete(StoredObject read) throws StoreException;

    /**
     * Watches all objects of a kind from a listing's version on.
     *
     * <p>The listener is called on a thread of the watch. The watch ends by itself on any error, after telling the
     * listener; whoever watches lists again and starts a new watch.
     */
    StoreWatch watch(ObjectKind kind, String fromVersion, StoreWatchListener listener) throws StoreException;
}
