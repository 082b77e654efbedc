package org.aspenmoor.internal.fake;

import java.util.List;
import java.util.Optional;
import org.aspenmoor.internal.store.ObjectKey;
import org.aspenmoor.internal.store.ObjectKind;
import org.aspenmoor.internal.store.ObjectStore;
import org.aspenmoor.internal.store.StoreException;
import org.aspenmoor.internal.store.StoreListing;
import org.aspenmoor.internal.store.StoreOutcomeUnknownException;
import org.aspenmoor.internal.store.StoreUnavailableException;
import org.aspenmoor.internal.store.StoreWatch;
import org.aspenmoor.internal.store.StoreWatchListener;
import org.aspenmoor.internal.store.StoredObject;

/** The client of a {@link FakeStore} for one process, with injected faults. */
final class FakeStoreClient implements ObjectStore {
    private final FakeStore store;
    private final StoreCallFaults faults;

    FakeStoreClient(FakeStore store, StoreCallFaults faults) {
        this.store = store;
        this.faults = faults;
    }

    @Override
    public Optional<StoredObject> read(ObjectKey key) throws StoreException {
        return switch (faults.onRead(key)) {
            case NONE -> store.get(key);
            case STALE_READ -> store.getStale(key);
            case UNAVAILABLE, ANSWER_LOST, REQUEST_LOST, LANDS_LATE -> throw unavailable(key);
        };
    }

    @Override
    public StoredObject create(ObjectKey key, String value) throws StoreException {
        return write(key, Optional.empty(), value);
    }

    @Override
    public StoredObject update(StoredObject read, String value) throws StoreException {
        return write(read.key(), Optional.of(read), value);
    }

    private StoredObject write(ObjectKey key, Optional<StoredObject> base, String value) throws StoreException {
        StoreFault fault = faults.onWrite(key);
        if (fault == StoreFault.UNAVAILABLE) {
            throw unavailable(key);
        }
        faults.beforeEffect(key);
        if (fault == StoreFault.REQUEST_LOST) {
            throw unknown(key);
        }
        if (fault == StoreFault.LANDS_LATE) {
            store.addInTransit(key, base, value);
            throw unknown(key);
        }
        StoredObject written = store.put(key, base, value);
        faults.afterEffect(key);
        if (fault == StoreFault.ANSWER_LOST) {
            throw unknown(key);
        }
        return written;
    }

    @Override
    public StoreListing list(ObjectKind kind) {
        throw new UnsupportedOperationException("The fake store does not support lists.");
    }

    @Override
    public List<StoredObject> list(ObjectKind kind, String namespace) {
        throw new UnsupportedOperationException("The fake store does not support lists.");
    }

    @Override
    public void delete(StoredObject read) {
        throw new UnsupportedOperationException("The fake store does not support deletions.");
    }

    @Override
    public StoreWatch watch(ObjectKind kind, String fromVersion, StoreWatchListener listener) {
        throw new UnsupportedOperationException("The fake store does not support watches.");
    }

    private static StoreUnavailableException unavailable(ObjectKey key) {
        return new StoreUnavailableException("The store does not respond.", key.toString(), "Retry later.");
    }

    private static StoreOutcomeUnknownException unknown(ObjectKey key) {
        return new StoreOutcomeUnknownException(
                "The response was lost.", key.toString(), "Read the object to find out whether the write took effect.");
    }
}
