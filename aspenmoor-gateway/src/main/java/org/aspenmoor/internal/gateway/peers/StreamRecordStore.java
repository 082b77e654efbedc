package org.aspenmoor.internal.gateway.peers;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.aspenmoor.internal.gateway.log.DecisionLog;
import org.aspenmoor.internal.gateway.log.DependencyLog;
import org.aspenmoor.internal.serving.origin.KnownStream;
import org.aspenmoor.internal.serving.origin.StreamRecord;
import org.aspenmoor.internal.store.ObjectKey;
import org.aspenmoor.internal.store.ObjectKind;
import org.aspenmoor.internal.store.ObjectStore;
import org.aspenmoor.internal.store.StoreException;
import org.aspenmoor.internal.store.StoredObject;
import org.aspenmoor.internal.time.TimeSource;

/**
 * Keeps this entry's record of streams in the store, one object per entry, and reads those of all entries. Runs on its own
 * thread. Of several records that are to be written while a call takes its time, only the last one is.
 */
public final class StreamRecordStore {
    /** Delay after a failed call, so that an unavailable store is not overloaded with retries. */
    private static final Duration RETRY_DELAY = Duration.ofMillis(500);

    private final ObjectStore store;
    private final ObjectKey key;
    private final StreamRecordRequests requests;
    private final TimeSource time;
    private final Consumer<Map<String, StreamRecord>> listener;
    private final DependencyLog dependency;
    private Optional<StoredObject> ownObject = Optional.empty();

    /**
     * Creates an instance.
     *
     * @param listener receives the records by the names of the entries, on the thread of this instance
     */
    public StreamRecordStore(
            ObjectStore store,
            String entry,
            StreamRecordRequests requests,
            TimeSource time,
            Consumer<Map<String, StreamRecord>> listener,
            DecisionLog log) {
        this.store = store;
        this.key = new ObjectKey(ObjectKind.STREAM_RECORD, ObjectKey.PLATFORM_NAMESPACE, entry);
        this.requests = requests;
        this.time = time;
        this.listener = listener;
        this.dependency = new DependencyLog(log, "stream records");
    }

    /** Starts the worker thread. */
    public void start() {
        Thread.ofPlatform().daemon().name("stream-records").start(this::run);
    }

    private void run() {
        try {
            while (true) {
                requests.await();
                if (!handleRequests()) {
                    requests.repeat();
                    TimeUnit.NANOSECONDS.sleep(RETRY_DELAY.toNanos());
                }
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    /** Does what has been requested; returns false if a call has failed and is to be repeated. */
    boolean handleRequests() {
        try {
            if (requests.loadRequested()) {
                readAll();
                requests.loaded();
            }
            writeOwn();
            dependency.restored();
            return true;
        } catch (StoreException failure) {
            dependency.lost(failure.problem());
            return false;
        }
    }

    private void readAll() throws StoreException {
        Instant now = time.wallClockTime();
        Map<String, StreamRecord> records = new HashMap<>();
        for (StoredObject object : store.list(ObjectKind.STREAM_RECORD).objects()) {
            StreamRecordCodec.parse(object, now)
                    .ifPresent(record -> records.put(object.key().name(), record));
        }
        listener.accept(records);
    }

    private void writeOwn() throws StoreException {
        Optional<List<KnownStream>> streams = requests.takeRecord();
        if (streams.isEmpty()) {
            return;
        }
        try {
            write(StreamRecordCodec.serialise(streams.get(), time.wallClockTime()));
        } catch (StoreException failure) {
            // The object may have been written all the same, so its version has to be read again.
            ownObject = Optional.empty();
            requests.writeAgain(streams.get());
            throw failure;
        }
    }

    private void write(String value) throws StoreException {
        if (ownObject.isEmpty()) {
            ownObject = store.read(key);
        }
        ownObject = Optional.of(ownObject.isEmpty() ? store.create(key, value) : store.update(ownObject.get(), value));
    }
}
