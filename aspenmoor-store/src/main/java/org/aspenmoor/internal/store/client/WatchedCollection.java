package org.aspenmoor.internal.store.client;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.aspenmoor.internal.store.ObjectKey;
import org.aspenmoor.internal.store.ObjectKind;
import org.aspenmoor.internal.store.ObjectStore;
import org.aspenmoor.internal.store.StoreException;
import org.aspenmoor.internal.store.StoreListing;
import org.aspenmoor.internal.store.StoreWatch;
import org.aspenmoor.internal.store.StoredObject;
import org.jboss.logging.Logger;

/**
 * Tracks all objects of one kind: lists them, watches them, and lists them again whenever the watch ends.
 *
 * <p>Changes and deletions between two watches are found by comparing the new list with the known objects. The store
 * may serve a list from an outdated replica; a listener that must never go back to an older state has to compare a
 * number within the object.
 */
public final class WatchedCollection implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(WatchedCollection.class);
    private static final int MAX_QUEUED_EVENTS = 256;

    private final ObjectStore store;
    private final ObjectKind kind;
    private final CollectionListener listener;
    private final Backoff backoff;
    private final Map<ObjectKey, StoredObject> known = new HashMap<>();
    private final Map<ObjectKey, String> failedVersions = new HashMap<>();
    private final Thread thread;
    private volatile boolean closed;

    public WatchedCollection(
            ObjectStore store,
            ObjectKind kind,
            CollectionListener listener,
            RandomGenerator random,
            StoreSettings settings) {
        this.store = store;
        this.kind = kind;
        this.listener = listener;
        this.backoff = new Backoff(random, settings.initialBackoff(), settings.maxBackoff());
        this.thread = Thread.ofPlatform()
                .daemon()
                .name("store-collection-" + kind.resource())
                .unstarted(this::run);
    }

    /** Starts the thread that tracks the objects. */
    public void start() {
        thread.start();
    }

    @Override
    public void close() {
        closed = true;
        thread.interrupt();
    }

    private void run() {
        int failures = 0;
        while (!closed) {
            Duration delay;
            try {
                listAndWatch();
                failures = 0;
                // A restart of the store ends the watches of all processes at the same time. If all of them listed
                // again immediately, they would exceed the store's rate limit just as it becomes available.
                delay = backoff.delayUpToMax();
            } catch (StoreException failure) {
                reportInterruption(failure);
                delay = backoff.delayBeforeRetry(failures);
                failures++;
            } catch (RuntimeException unexpected) {
                LOG.errorf(unexpected, "store: processing a change of %s failed, listing again", kind.resource());
                delay = backoff.delayBeforeRetry(failures);
                failures++;
            } catch (InterruptedException closing) {
                return;
            }
            if (!sleepFor(delay)) {
                return;
            }
        }
    }

    private void listAndWatch() throws StoreException, InterruptedException {
        listener.listing();
        StoreListing listing = store.list(kind);
        applyListing(listing);
        listener.synchronised();
        processWatch(listing.version());
    }

    /** Processes the events of one watch until it ends. */
    private void processWatch(String version) throws StoreException, InterruptedException {
        BlockingQueue<CollectionEvent> events = new ArrayBlockingQueue<>(MAX_QUEUED_EVENTS);
        try (StoreWatch watch = store.watch(kind, version, new QueueingWatchListener(events))) {
            while (true) {
                switch (events.take()) {
                    case CollectionEvent.Changed changed -> applyChange(changed.object());
                    case CollectionEvent.Deleted deleted -> applyDeletion(deleted.object());
                    case CollectionEvent.Confirmed confirmed ->
                        listener.confirmed(confirmed.generation(), confirmed.sentAt());
                    case CollectionEvent.Ended ended -> {
                        reportInterruption(ended.cause());
                        return;
                    }
                }
            }
        }
    }

    private void applyListing(StoreListing listing) {
        Map<ObjectKey, StoredObject> listed = new HashMap<>();
        for (StoredObject object : listing.objects()) {
            listed.put(object.key(), object);
        }
        List<StoredObject> missing = new ArrayList<>();
        for (StoredObject object : known.values()) {
            if (!listed.containsKey(object.key())) {
                missing.add(object);
            }
        }
        missing.forEach(this::applyDeletion);
        listed.values().forEach(this::applyChange);
    }

    // An object counts as known only after the listener has processed it, so that the next listing reports it again
    // otherwise.
    private void applyChange(StoredObject object) {
        StoredObject before = known.get(object.key());
        if (before != null && before.version().equals(object.version())) {
            return;
        }
        try {
            listener.changed(object);
        } catch (RuntimeException unexpected) {
            leaveOutIfFailedBefore(object, unexpected);
        }
        known.put(object.key(), object);
    }

    /** Has the objects listed again after the first failure; an object that fails each time must not hold up the others. */
    private void leaveOutIfFailedBefore(StoredObject object, RuntimeException failure) {
        String versionBefore = failedVersions.put(object.key(), object.version());
        if (!object.version().equals(versionBefore)) {
            throw failure;
        }
        LOG.errorf(failure, "store: processing %s failed again, going on without it", object.key());
    }

    private void applyDeletion(StoredObject object) {
        if (known.containsKey(object.key())) {
            listener.deleted(object);
            known.remove(object.key());
            failedVersions.remove(object.key());
        }
    }

    private void reportInterruption(StoreException cause) {
        if (closed) {
            return;
        }
        LOG.debugf("store: watching %s was interrupted: %s", kind.resource(), cause.problem());
        listener.interrupted(cause);
    }

    private boolean sleepFor(Duration delay) {
        try {
            TimeUnit.NANOSECONDS.sleep(delay.toNanos());
            return !closed;
        } catch (InterruptedException closing) {
            return false;
        }
    }
}
