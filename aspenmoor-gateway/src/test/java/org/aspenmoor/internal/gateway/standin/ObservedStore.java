package org.aspenmoor.internal.gateway.standin;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.aspenmoor.internal.store.ObjectKey;
import org.aspenmoor.internal.store.ObjectKind;
import org.aspenmoor.internal.store.ObjectStore;
import org.aspenmoor.internal.store.StoreException;
import org.aspenmoor.internal.store.StoreListing;
import org.aspenmoor.internal.store.StoreUnavailableException;
import org.aspenmoor.internal.store.StoreWatch;
import org.aspenmoor.internal.store.StoreWatchListener;
import org.aspenmoor.internal.store.StoredObject;

/** Runs an action before each listing of a store, may reject writes, and confirms or interrupts the watch of the servers. */
public final class ObservedStore implements ObjectStore {
    private final ObjectStore store;
    private final Runnable beforeListing;
    private final CompletableFuture<StoreWatchListener> serverWatch = new CompletableFuture<>();
    private volatile boolean rejecting;
    private volatile boolean listingsFail;

    public ObservedStore(ObjectStore store, Runnable beforeListing) {
        this.store = store;
        this.beforeListing = beforeListing;
    }

    /** Has all writes fail from now on, while reads succeed. */
    public void rejectWrites() {
        rejecting = true;
    }

    /** Confirms, as a poll does that was sent at this time, that the servers are as the watch has shown them. */
    public void confirmServers(long sentAt) {
        serverWatch.join().confirmed(0, sentAt);
    }

    /** Ends the watch of the servers, and has all listings fail from now on. */
    public void interruptServers() {
        listingsFail = true;
        serverWatch.join().ended(unavailable());
    }

    private static StoreUnavailableException unavailable() {
        return new StoreUnavailableException("The store does not answer.", "test", "Call again later.");
    }

    private void failIfRejecting() throws StoreException {
        if (rejecting) {
            throw new StoreUnavailableException("The store takes no writes.", "test", "Write again later.");
        }
    }

    @Override
    public Optional<StoredObject> read(ObjectKey key) throws StoreException {
        return store.read(key);
    }

    @Override
    public StoreListing list(ObjectKind kind) throws StoreException {
        beforeListing.run();
        if (listingsFail) {
            throw unavailable();
        }
        return store.list(kind);
    }

    @Override
    public List<StoredObject> list(ObjectKind kind, String namespace) throws StoreException {
        return store.list(kind, namespace);
    }

    @Override
    public StoredObject create(ObjectKey key, String value) throws StoreException {
        failIfRejecting();
        return store.create(key, value);
    }

    @Override
    public StoredObject update(StoredObject read, String value) throws StoreException {
        failIfRejecting();
        return store.update(read, value);
    }

    @Override
    public void delete(StoredObject read) throws StoreException {
        failIfRejecting();
        store.delete(read);
    }

    @Override
    public StoreWatch watch(ObjectKind kind, String fromVersion, StoreWatchListener listener) throws StoreException {
        if (kind == ObjectKind.BACKEND_SERVER) {
            serverWatch.complete(listener);
        }
        return store.watch(kind, fromVersion, listener);
    }
}
