package org.aspenmoor.internal.gateway.quarantine;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.aspenmoor.internal.gateway.log.DecisionLog;
import org.aspenmoor.internal.gateway.log.DependencyLog;
import org.aspenmoor.internal.serving.quarantine.Quarantine;
import org.aspenmoor.internal.serving.quarantine.ServerTermination;
import org.aspenmoor.internal.serving.quarantine.SuspectDigest;
import org.aspenmoor.internal.store.ObjectStore;
import org.aspenmoor.internal.store.StoreConflictException;
import org.aspenmoor.internal.store.StoreException;
import org.aspenmoor.internal.store.StoreMalformedException;
import org.aspenmoor.internal.store.StoredObject;
import org.aspenmoor.internal.store.client.CollectionListener;
import org.aspenmoor.internal.time.TimeSource;

/**
 * Keeps the requests with terminations on more than one server in sync with the store, one object per request. Runs
 * on its own thread.
 *
 * <p>Without the store, entries that all lose power at once would forget these requests, and newly started entries
 * would not know them. What an entry knows and the store lacks is written again, also after the store was restored
 * from an older copy. As all entries know nearly the same, each waits for a random time before it writes and mostly
 * finds that another entry has already written. An entry that observed a termination itself does not wait.
 */
public final class FatalRequestSynchroniser implements CollectionListener {
    /**
     * Maximum random delay before a write. Within it one of the entries writes; the others receive the update from
     * the store.
     */
    private static final Duration MAX_WRITE_DELAY = Duration.ofSeconds(1);

    /** Delay after a failed attempt, so that an unavailable store is not overloaded with retries. */
    private static final Duration RETRY_DELAY = Duration.ofMillis(500);

    /** Prevents a caller who keeps sending new fatal requests from filling the store. */
    private static final int MAX_STORED = 500;

    /** Exceeds the clock differences between entries, so that no entry rewrites what another has just deleted. */
    private static final Duration DELETE_AFTER = Quarantine.RETENTION.plusMinutes(1);

    private final ObjectStore store;
    private final FatalRequestTracker tracker;
    private final Runnable onSynchronised;
    private final Executor eventLoop;
    private final TimeSource time;
    private final RandomGenerator random;
    private final DecisionLog log;
    private final DependencyLog dependency;
    private final Map<SuspectDigest, StoredObject> storedObjects = new ConcurrentHashMap<>();
    private final Semaphore changes = new Semaphore(0);
    private final Semaphore ownTerminations = new Semaphore(0);

    /**
     * Creates a synchroniser.
     *
     * @param onSynchronised runs on the event loop after everything in the store has been read
     */
    public FatalRequestSynchroniser(
            ObjectStore store,
            FatalRequestTracker tracker,
            Runnable onSynchronised,
            Executor eventLoop,
            TimeSource time,
            RandomGenerator random,
            DecisionLog log) {
        this.store = store;
        this.tracker = tracker;
        this.onSynchronised = onSynchronised;
        this.eventLoop = eventLoop;
        this.time = time;
        this.random = random;
        this.log = log;
        this.dependency = new DependencyLog(log, "fatal requests");
    }

    /** Starts the worker thread. */
    public void start() {
        tracker.setChangeListener(this::localChange);
        Thread.ofPlatform().daemon().name("fatal-requests").start(this::run);
    }

    @Override
    public void changed(StoredObject object) {
        try {
            List<ServerTermination> terminations = FatalRequestCodec.parse(object, timeOfDayMillis());
            if (!terminations.isEmpty()) {
                storedObjects.put(terminations.getFirst().suspect(), object);
                eventLoop.execute(() -> tracker.terminationsReported(terminations, "the store"));
            }
        } catch (StoreMalformedException malformed) {
            // Other processes may write such objects. What this entry knows stays valid.
            log.notable("fatal-request-unreadable")
                    .with("object", object.key().toString())
                    .with("reason", malformed.problem())
                    .write();
        }
    }

    @Override
    public void deleted(StoredObject object) {
        SuspectDigest.parse(object.key().name()).ifPresent(storedObjects::remove);
        changes.release();
    }

    @Override
    public void synchronised() {
        dependency.restored();
        eventLoop.execute(onSynchronised);
        changes.release();
    }

    @Override
    public void interrupted(StoreException cause) {
        dependency.lost(cause.problem());
    }

    private void localChange(boolean observedHere) {
        if (observedHere) {
            ownTerminations.release();
        }
        changes.release();
    }

    private void run() {
        try {
            while (true) {
                changes.acquire();
                awaitWriteDelay();
                if (!updateStore()) {
                    changes.release();
                    TimeUnit.NANOSECONDS.sleep(RETRY_DELAY.toNanos());
                }
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    /** An entry that observed a termination itself writes at once, since it may fail at any moment. */
    private void awaitWriteDelay() throws InterruptedException {
        long delayNanos = (long) (random.nextDouble() * MAX_WRITE_DELAY.toNanos());
        if (ownTerminations.tryAcquire(delayNanos, TimeUnit.NANOSECONDS)) {
            ownTerminations.drainPermits();
        }
        changes.drainPermits();
    }

    /** Writes what the store lacks and deletes what has expired there; returns whether this succeeded. */
    boolean updateStore() {
        Map<SuspectDigest, List<ServerTermination>> toStore = CompletableFuture.supplyAsync(
                        tracker::terminationsToStore, eventLoop)
                .join();
        try {
            for (Map.Entry<SuspectDigest, List<ServerTermination>> entry : toStore.entrySet()) {
                write(entry.getKey(), entry.getValue());
            }
            for (StoredObject object : List.copyOf(storedObjects.values())) {
                deleteIfExpired(object);
            }
            return true;
        } catch (StoreConflictException conflict) {
            // Another entry has just written. The watch delivers its update, which is then compared again.
            return false;
        } catch (StoreException failure) {
            log.notable("fatal-request-not-stored")
                    .with("reason", failure.problem())
                    .write();
            return false;
        }
    }

    private void write(SuspectDigest request, List<ServerTermination> local) throws StoreException {
        StoredObject storedObject = storedObjects.get(request);
        List<ServerTermination> stored =
                storedObject == null ? List.of() : FatalRequestCodec.parse(storedObject, timeOfDayMillis());
        TerminationMerge merge = new TerminationMerge(stored, local);
        if (!merge.needsWrite()) {
            return;
        }
        String value = FatalRequestCodec.serialise(merge.terminations(), timeOfDayMillis());
        if (storedObject == null) {
            create(request, value);
        } else {
            storedObjects.put(request, store.update(storedObject, value));
        }
    }

    private void create(SuspectDigest request, String value) throws StoreException {
        if (storedObjects.size() >= MAX_STORED) {
            log.notable("fatal-request-not-stored")
                    .with("digest", request.hex())
                    .with("reason", MAX_STORED + " requests are stored, which is the maximum")
                    .write();
            return;
        }
        storedObjects.put(request, store.create(FatalRequestCodec.key(request), value));
        log.notable("fatal-request-stored").with("digest", request.hex()).write();
    }

    private void deleteIfExpired(StoredObject object) throws StoreException {
        boolean expired = FatalRequestCodec.parse(object, timeOfDayMillis()).stream()
                .allMatch(termination -> termination.age().compareTo(DELETE_AFTER) > 0);
        if (expired) {
            store.delete(object);
            SuspectDigest.parse(object.key().name()).ifPresent(storedObjects::remove);
        }
    }

    private long timeOfDayMillis() {
        return time.wallClockTime().toEpochMilli();
    }
}
