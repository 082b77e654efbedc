package org.aspenmoor.internal.store;

import java.util.List;
import java.util.Optional;

/**
 * The platform's object store.
 *
 * <p>Calls block and are made only by worker threads dedicated to the store. Each call and each open watch counts
 * against the store's rate limit.
 */
public interface ObjectStore {
    /**
     * Returns the highest generation of the store's history seen in a response. The generation increases when the store
     * is restored from an older snapshot; object versions of different generations are not comparable. Zero for stores
     * that are never restored.
     */
    default long generation() {
        return 0;
    }

    /** Reads one object; empty if it does not exist. */
    Optional<StoredObject> read(ObjectKey key) throws StoreException;

    /** Lists the objects of a kind in all namespaces, with the version to start a watch from. */
    StoreListing list(ObjectKind kind) throws StoreException;

    /** Lists the objects of a kind in one namespace. */
    List<StoredObject> list(ObjectKind kind, String namespace) throws StoreException;

    /**
     * Creates an object if none with this key exists.
     *
     * @throws StoreConflictException if the object already exists; nothing was written
     * @throws StoreOutcomeUnknownException if the response was lost; read the object to find out whether it was created
     */
    StoredObject create(ObjectKey key, String value) throws StoreException;

    /**
     * Replaces an object if it still has the version that was read.
     *
     * @throws StoreConflictException if the object has another version or was deleted; nothing was written
     * @throws StoreOutcomeUnknownException if the response was lost; read the object to find out whether it was
     *     replaced
     */
    StoredObject update(StoredObject read, String value) throws StoreException;

    /**
     * Deletes an object if it still has the version that was read.
     *
     * @throws StoreConflictException if the object has another version; nothing was deleted
     */
    void delete(StoredObject read) throws StoreException;

    /**
     * Watches all objects of a kind, starting from the version of a listing.
     *
     * <p>The listener is called on a thread of the watch. On any error the watch notifies the listener and ends; the
     * listener's owner then lists the objects again and starts a new watch.
     */
    StoreWatch watch(ObjectKind kind, String fromVersion, StoreWatchListener listener) throws StoreException;
}
