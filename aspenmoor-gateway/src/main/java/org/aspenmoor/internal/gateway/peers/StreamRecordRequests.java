package org.aspenmoor.internal.gateway.peers;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicReference;
import org.aspenmoor.internal.serving.origin.KnownStream;

/** Hands what is to be written and read of the records of streams from the event loop to the thread that calls the store. */
public final class StreamRecordRequests {
    private final Semaphore requests = new Semaphore(0);
    private final AtomicReference<List<KnownStream>> toWrite = new AtomicReference<>();
    private volatile boolean loadRequested;

    /** Has the records of all entries read. */
    public void load() {
        loadRequested = true;
        requests.release();
    }

    /** Has this entry's record replaced; a record that waits to be written is superseded. */
    public void write(List<KnownStream> streams) {
        toWrite.set(List.copyOf(streams));
        requests.release();
    }

    /** Has a record written after all whose writing failed, unless there is a newer one. */
    void writeAgain(List<KnownStream> streams) {
        toWrite.compareAndSet(null, streams);
    }

    /** Waits for a request. */
    void await() throws InterruptedException {
        requests.acquire();
        requests.drainPermits();
    }

    boolean loadRequested() {
        return loadRequested;
    }

    void loaded() {
        loadRequested = false;
    }

    /** Returns the record that is to be written, once. */
    Optional<List<KnownStream>> takeRecord() {
        return Optional.ofNullable(toWrite.getAndSet(null));
    }

    /** Has the next wait end at once. */
    void repeat() {
        requests.release();
    }
}
