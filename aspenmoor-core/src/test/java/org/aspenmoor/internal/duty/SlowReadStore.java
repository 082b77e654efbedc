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

/** A store as seen by one process, whose reads take a while to reach the store. */
final class SlowReadStore implements ObjectStore {
    private final ObjectStore store;
    private StoreAction beforeNextRead = () -> {};

    SlowReadStore(ObjectStore store) {
        this.store = store;
    }

    /** Sets what happens before the store handles the next read. */
    void beforeNextRead(StoreAction action) {
        beforeNextRead = action;
    }

    @Override
    public long generation() {
        return store.generation();
    }

    @Override
    public Optional<StoredObject> read(ObjectKey key) throws StoreException {
        StoreAction action = beforeNextRead;
        beforeNextRead = () -> {};
        action.run();
        return store.read(key);
    }

    @Override
    public StoreListing list(ObjectKind kind) throws StoreException {
        return store.list(kind);
    }

    @Override
    public List<StoredObject> list(ObjectKind kind, String namespace) throws StoreException {
        return store.list(kind, namespace);
    }

    @Override
    public StoredObject create(ObjectKey key, String value) throws StoreException {
        return store.create(key, value);
    }

    @Override
    public StoredObject update(StoredObject read, String value) throws StoreException {
        return store.update(read, value);
    }

    @Override
    public void delete(StoredObject read) throws StoreException {
        store.delete(read);
    }

    @Override
    public StoreWatch watch(ObjectKind kind, String fromVersion, StoreWatchListener listener) throws StoreException {
        return store.watch(kind, fromVersion, listener);
    }

    /** Something that calls the store. */
    interface StoreAction {
        void run() throws StoreException;
    }
}
