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
import org.aspenmoor.internal.serving.quarantine.RequestDigest;
import org.aspenmoor.internal.serving.quarantine.ServerEnd;
import org.aspenmoor.internal.store.ObjectStore;
import org.aspenmoor.internal.store.StoreConflictException;
import org.aspenmoor.internal.store.StoreException;
import org.aspenmoor.internal.store.StoreMalformedException;
import org.aspenmoor.internal.store.StoredObject;
import org.aspenmoor.internal.store.client.CollectionListener;
import org.aspenmoor.internal.time.TimeSource;

/**
 * Keeps the requests under which more than one server has ended in the store, one object each, and takes in what is there;
 * a duty of its own thread.
 *
 * <p>Entries that all lose power at once would forget them, and those that start hear them from nobody. Whatever an entry
 * knows and the store does not is written again, also after the store has come back from an older copy. All entries know
 * nearly the same, so each waits a random while first and mostly finds that another has written; who has
 * seen a server end doesn't wait.
 */
public final class FatalRequestKeeper implements CollectionListener {
    /** Within it one of the entries writes; the others hear of it from the store. */
    private static final Duration LONGEST_WAIT = Duration.ofSeconds(1);

    /** After a write, so that a store that is away is not pressed. */
    private static final Duration PAUSE = Duration.ofMillis(500);

    /** A caller who keeps sending new fatal requests must not fill the store. */
    private static final int MOST_STORED = 500;

    /** Above the differences between clocks, so that no entry writes again what another has just deleted. */
    private static final Duration DELETED_AFTER = Quarantine.RETENTION.plusMinutes(1);

    private final ObjectStore store;
    private final FatalRequests requests;
    private final Runnable known;
    private final Executor eventLoop;
    private final TimeSource time;
    private final RandomGenerator random;
    private final DecisionLog log;
    private final DependencyLog dependency;
    private final Map<RequestDigest, StoredObject> stored = new ConcurrentHashMap<>();
    private final Semaphore changes = new Semaphore(0);
    private final Semaphore ownEnds = new Semaphore(0);

    /**
     * Makes a keeper.
     *
     * @param known runs, on the event loop, once all that the store holds has been taken in
     */
    public FatalRequestKeeper(
            ObjectStore store,
            FatalRequests requests,
            Runnable known,
            Executor eventLoop,
            TimeSource time,
            RandomGenerator random,
            DecisionLog log) {
        this.store = store;
        this.requests = requests;
        this.known = known;
        this.eventLoop = eventLoop;
        this.time = time;
        this.random = random;
        this.log = log;
        this.dependency = new DependencyLog(log, "fatal requests");
    }

    /** Starts the duty. */
    public void start() {
        requests.onChange(this::changedHere);
        Thread.ofPlatform().daemon().name("fatal-requests").start(this::run);
    }

    @Override
    public void changed(StoredObject object) {
        try {
            List<ServerEnd> ends = FatalRequestCodec.read(object, timeOfDay());
            if (!ends.isEmpty()) {
                stored.put(ends.getFirst().request(), object);
                eventLoop.execute(() -> requests.heard(ends, "the store"));
            }
        } catch (StoreMalformedException malformed) {
            // Anybody may write there. What this entry knows goes on.
            log.notable("fatal-request-unreadable")
                    .with("object", object.key().toString())
                    .with("reason", malformed.problem())
                    .write();
        }
    }

    @Override
    public void deleted(StoredObject object) {
        RequestDigest.parse(object.key().name()).ifPresent(stored::remove);
        changes.release();
    }

    @Override
    public void synchronised() {
        dependency.back();
        eventLoop.execute(known);
        changes.release();
    }

    @Override
    public void interrupted(StoreException cause) {
        dependency.lost(cause.problem());
    }

    private void changedHere(boolean ownRun) {
        if (ownRun) {
            ownEnds.release();
        }
        changes.release();
    }

    private void run() {
        try {
            while (true) {
                changes.acquire();
                awaitTurn();
                if (!step()) {
                    changes.release();
                    TimeUnit.NANOSECONDS.sleep(PAUSE.toNanos());
                }
            }
        } catch (InterruptedException ending) {
            Thread.currentThread().interrupt();
        }
    }

    /** Whoever saw a server end writes at once: the next moment may be its last. */
    private void awaitTurn() throws InterruptedException {
        long wait = (long) (random.nextDouble() * LONGEST_WAIT.toNanos());
        if (ownEnds.tryAcquire(wait, TimeUnit.NANOSECONDS)) {
            ownEnds.drainPermits();
        }
        changes.drainPermits();
    }

    /** Writes what the store lacks and deletes what is too old there; returns whether that is done. */
    boolean step() {
        Map<RequestDigest, List<ServerEnd>> repeated =
                CompletableFuture.supplyAsync(requests::repeated, eventLoop).join();
        try {
            for (Map.Entry<RequestDigest, List<ServerEnd>> entry : repeated.entrySet()) {
                write(entry.getKey(), entry.getValue());
            }
            for (StoredObject object : List.copyOf(stored.values())) {
                deleteIfOld(object);
            }
            return true;
        } catch (StoreConflictException other) {
            // Another entry has just written; what it wrote is told by the watch, and is compared again.
            return false;
        } catch (StoreException failure) {
            log.notable("fatal-request-not-stored")
                    .with("reason", failure.problem())
                    .write();
            return false;
        }
    }

    private void write(RequestDigest request, List<ServerEnd> ends) throws StoreException {
        StoredObject before = stored.get(request);
        List<ServerEnd> there = before == null ? List.of() : FatalRequestCodec.read(before, timeOfDay());
        EndUnion union = new EndUnion(there, ends);
        if (!union.worthWriting()) {
            return;
        }
        String value = FatalRequestCodec.write(union.ends(), timeOfDay());
        if (before == null) {
            create(request, value);
        } else {
            stored.put(request, store.update(before, value));
        }
    }

    private void create(RequestDigest request, String value) throws StoreException {
        if (stored.size() >= MOST_STORED) {
            log.notable("fatal-request-not-stored")
                    .with("digest", request.text())
                    .with("reason", MOST_STORED + " are stored, which is the most")
                    .write();
            return;
        }
        stored.put(request, store.create(FatalRequestCodec.key(request), value));
        log.notable("fatal-request-stored").with("digest", request.text()).write();
    }

    private void deleteIfOld(StoredObject object) throws StoreException {
        boolean old = FatalRequestCodec.read(object, timeOfDay()).stream()
                .allMatch(end -> end.age().compareTo(DELETED_AFTER) > 0);
        if (old) {
            store.delete(object);
            RequestDigest.parse(object.key().name()).ifPresent(stored::remove);
        }
    }

    private long timeOfDay() {
        return time.wallClockTime().toEpochMilli();
    }
}
