package org.aspenmoor.internal.duty;

import java.util.List;
import java.util.Optional;
import org.aspenmoor.internal.store.ObjectKey;
import org.aspenmoor.internal.store.ObjectKind;
import org.aspenmoor.internal.store.ObjectStore;
import org.aspenmoor.internal.store.StoreException;
import org.aspenmoor.internal.store.StoreListing;
import org.aspenmoor.internal.store.StoreWatch;
import org.aspenmoor.internal.store.StoreWatchListener;
import org.aspenmoor.internal.store.StoredObject;

/** A store as seen by one process that learns of a restore from an older copy only from responses to its calls. */
final class DelayedGenerationStore implements ObjectStore {
    private final ObjectStore store;
    private long generation;

    DelayedGenerationStore(ObjectStore store) {
        this.store = store;
    }

    @Override
    public long generation() {
        return generation;
    }

    @Override
    public Optional<StoredObject> read(ObjectKey key) throws StoreException {
        generation = store.generation();
        return store.read(key);
    }

    @Override
    public StoreListing list(ObjectKind kind) throws StoreException {
        generation = store.generation();
        return store.list(kind);
    }

    @Override
    public List<StoredObject> list(ObjectKind kind, String namespace) throws StoreException {
        generation = store.generation();
        return store.list(kind, namespace);
    }

    @Override
    public StoredObject create(ObjectKey key, String value) throws StoreException {
        generation = store.generation();
        return store.create(key, value);
    }

    @Override
    public StoredObject update(StoredObject read, String value) throws StoreException {
        generation = store.generation();
        return store.update(read, value);
    }

    @Override
    public void delete(StoredObject read) throws StoreException {
        generation = store.generation();
        store.delete(read);
    }

    @Override
    public StoreWatch watch(ObjectKind kind, String fromVersion, StoreWatchListener listener) throws StoreException {
        return store.watch(kind, fromVersion, listener);
    }
}
