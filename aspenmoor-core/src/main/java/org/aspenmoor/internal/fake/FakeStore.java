package org.aspenmoor.internal.fake;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.aspenmoor.internal.store.ObjectKey;
import org.aspenmoor.internal.store.ObjectStore;
import org.aspenmoor.internal.store.StoreConflictException;
import org.aspenmoor.internal.store.StoredObject;

/** An in-memory object store; each process accesses it through its own client with its own faults. */
public final class FakeStore {
    private final Map<ObjectKey, StoredObject> objects = new HashMap<>();
    private final Map<ObjectKey, StoredObject> previousStates = new HashMap<>();
    private final List<DelayedWrite> inTransit = new ArrayList<>();
    private final List<Consumer<StoreWrite>> listeners = new ArrayList<>();
    private long version;
    private long reads;
    private long writes;

    /** Returns a client for one process, with its own faults. */
    public ObjectStore client(StoreCallFaults faults) {
        return new FakeStoreClient(this, faults);
    }

    /** Registers a listener that is called with every write that takes effect. */
    public void addWriteListener(Consumer<StoreWrite> listener) {
        listeners.add(listener);
    }

    /** Delivers the oldest write in transit and checks its condition then; returns false if there is none. */
    public boolean deliverDelayed() {
        if (inTransit.isEmpty()) {
            return false;
        }
        DelayedWrite delayed = inTransit.removeFirst();
        try {
            put(delayed.key(), delayed.base(), delayed.value());
        } catch (StoreConflictException conflict) {
            // The object has changed since; the sender no longer waits for the response.
            return true;
        }
        return true;
    }

    /** Returns the current state of an object, without counting a call. */
    public Optional<StoredObject> peek(ObjectKey key) {
        return Optional.ofNullable(objects.get(key));
    }

    /** Returns all objects, without counting a call. */
    public List<StoredObject> peekAll() {
        return List.copyOf(objects.values());
    }

    /** Returns the number of reads that arrived. */
    public long reads() {
        return reads;
    }

    /** Returns the number of writes that arrived, whether accepted or refused. */
    public long writes() {
        return writes;
    }

    Optional<StoredObject> get(ObjectKey key) {
        reads++;
        return Optional.ofNullable(objects.get(key));
    }

    Optional<StoredObject> getStale(ObjectKey key) {
        reads++;
        return Optional.ofNullable(previousStates.getOrDefault(key, objects.get(key)));
    }

    StoredObject put(ObjectKey key, Optional<StoredObject> base, String value) throws StoreConflictException {
        writes++;
        Optional<StoredObject> before = Optional.ofNullable(objects.get(key));
        Optional<String> expected = base.map(StoredObject::version);
        if (!before.map(StoredObject::version).equals(expected)) {
            throw new StoreConflictException(
                    "The object has changed since it was read.", key.toString(), "Read it and repeat the decision.");
        }
        version++;
        StoredObject after = new StoredObject(key, String.valueOf(version), value);
        before.ifPresent(old -> previousStates.put(key, old));
        objects.put(key, after);
        StoreWrite write = new StoreWrite(before, after);
        listeners.forEach(listener -> listener.accept(write));
        return after;
    }

    void addInTransit(ObjectKey key, Optional<StoredObject> base, String value) {
        inTransit.add(new DelayedWrite(key, base, value));
    }

    /** A write in transit. */
    private record DelayedWrite(ObjectKey key, Optional<StoredObject> base, String value) {}
}
