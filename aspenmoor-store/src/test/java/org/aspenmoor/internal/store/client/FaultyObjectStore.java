package org.aspenmoor.internal.store.client;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import org.aspenmoor.internal.store.ObjectKey;
import org.aspenmoor.internal.store.ObjectKind;
import org.aspenmoor.internal.store.ObjectStore;
import org.aspenmoor.internal.store.StoreConflictException;
import org.aspenmoor.internal.store.StoreException;
import org.aspenmoor.internal.store.StoreListing;
import org.aspenmoor.internal.store.StoreOutcomeUnknownException;
import org.aspenmoor.internal.store.StoreUnavailableException;
import org.aspenmoor.internal.store.StoreWatch;
import org.aspenmoor.internal.store.StoreWatchListener;
import org.aspenmoor.internal.store.StoredObject;

/** An in-memory store whose next writes and reads can be made to fail. */
final class FaultyObjectStore implements ObjectStore {
    private final Map<ObjectKey, StoredObject> objects = new LinkedHashMap<>();
    private final Deque<WriteFault> writeFaults = new ArrayDeque<>();
    private final BlockingQueue<StoreWatchListener> watches = new LinkedBlockingQueue<>();
    private int remainingReadFailures;
    private int version;
    private int writesSent;

    /** A fault of a write. */
    enum WriteFault {
        /** The write takes effect and its response is lost. */
        APPLIED_ANSWER_LOST,
        /** The write never arrives; its sender cannot distinguish this from a lost response. */
        NEVER_ARRIVED
    }

    synchronized FaultyObjectStore addWriteFaults(WriteFault... faults) {
        writeFaults.addAll(List.of(faults));
        return this;
    }

    synchronized void failNextReads(int count) {
        remainingReadFailures = count;
    }

    synchronized StoredObject put(ObjectKey key, String value) {
        version++;
        StoredObject object = new StoredObject(key, String.valueOf(version), value);
        objects.put(key, object);
        return object;
    }

    synchronized void remove(ObjectKey key) {
        objects.remove(key);
    }

    synchronized int writesSent() {
        return writesSent;
    }

    /** Waits for the next watch and returns its listener. */
    StoreWatchListener nextWatch() throws InterruptedException {
        return watches.take();
    }

    @Override
    public synchronized Optional<StoredObject> read(ObjectKey key) throws StoreException {
        failIfScheduled();
        return Optional.ofNullable(objects.get(key));
    }

    @Override
    public synchronized StoreListing list(ObjectKind kind) throws StoreException {
        failIfScheduled();
        return new StoreListing(List.copyOf(objects.values()), String.valueOf(version));
    }

    @Override
    public List<StoredObject> list(ObjectKind kind, String namespace) throws StoreException {
        return list(kind).objects();
    }

    @Override
    public synchronized StoredObject create(ObjectKey key, String value) throws StoreException {
        return write(key, Optional.empty(), value);
    }

    @Override
    public synchronized StoredObject update(StoredObject read, String value) throws StoreException {
        return write(read.key(), Optional.of(read.version()), value);
    }

    @Override
    public synchronized void delete(StoredObject read) {
        objects.remove(read.key());
    }

    @Override
    public StoreWatch watch(ObjectKind kind, String fromVersion, StoreWatchListener listener) {
        watches.add(listener);
        return () -> {};
    }

    private StoredObject write(ObjectKey key, Optional<String> condition, String value) throws StoreException {
        writesSent++;
        WriteFault fault = writeFaults.poll();
        if (fault == WriteFault.NEVER_ARRIVED) {
            throw new StoreOutcomeUnknownException("The response was lost.", key.toString(), "Read the object.");
        }
        Optional<String> current = Optional.ofNullable(objects.get(key)).map(StoredObject::version);
        if (!current.equals(condition)) {
            throw new StoreConflictException("The object has another version.", key.toString(), "Read the object.");
        }
        StoredObject written = put(key, value);
        if (fault == WriteFault.APPLIED_ANSWER_LOST) {
            throw new StoreOutcomeUnknownException("The response was lost.", key.toString(), "Read the object.");
        }
        return written;
    }

    private void failIfScheduled() throws StoreUnavailableException {
        if (remainingReadFailures > 0) {
            remainingReadFailures--;
            throw new StoreUnavailableException("The store is down.", "fake", "Retry later.");
        }
    }
}
