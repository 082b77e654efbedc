package org.aspenmoor.internal.platform;

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
 * Follows all objects of one kind: lists, watches, and lists again whenever the watch ends.
 *
 * <p>Changes and deletions that fall between two watches are found by comparing the new list with what is known. A store
 * may answer a list from an old replica; whoever may never go back compares a number within the object.
 */
public final class WatchedCollection implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(WatchedCollection.class);
    private static final int MOST_WAITING_EVENTS = 256;

    private final ObjectStore store;
    private final ObjectKind kind;
    private final CollectionListener listener;
    private final Backoff backoff;
    private final Map<ObjectKey, StoredObject> known = new HashMap<>();
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
        this.backoff = new Backoff(random, settings.firstBackoff(), settings.mostBackoff());
        this.thread = Thread.ofPlatform()
                .daemon()
                .name("store-collection-" + kind.resource())
                .unstarted(this::run);
    }

    /** Starts following. */
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
            BlockingQueue<CollectionEvent> events = new ArrayBlockingQueue<>(MOST_WAITING_EVENTS);
            try {
                StoreListing listing = store.list(kind);
                takeOver(listing);
                listener.synchronised();
                failures = follow(listing.version(), events) ? 0 : failures + 1;
            } catch (StoreException failure) {
                interrupted(failure);
                failures++;
            } catch (InterruptedException closing) {
                return;
            }
            if (!pauseBefore(failures)) {
                return;
            }
        }
    }

    /** Follows one watch to its end; says whether it brought any event. */
    private boolean follow(String version, BlockingQueue<CollectionEvent> events)
            throws StoreException, InterruptedException {
        boolean heard = false;
        try (StoreWatch watch = store.watch(kind, version, new EventQueue(events))) {
            while (true) {
                CollectionEvent event = events.take();
                switch (event) {
                    case CollectionEvent.Changed changed -> change(changed.object());
                    case CollectionEvent.Deleted deleted -> delete(deleted.object());
                    case CollectionEvent.Ended ended -> {
                        interrupted(ended.cause());
                        return heard;
                    }
                }
                heard = true;
            }
        }
    }

    private void takeOver(StoreListing listing) {
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
        missing.forEach(this::delete);
        listed.values().forEach(this::change);
    }

    private void change(StoredObject object) {
        StoredObject before = known.put(object.key(), object);
        if (before != null && before.version().equals(object.version())) {
            return;
        }
        listener.changed(object);
    }

    private void delete(StoredObject object) {
        if (known.remove(object.key()) != null) {
            listener.deleted(object);
        }
    }

    private void interrupted(StoreException cause) {
        if (closed) {
            return;
        }
        LOG.debugf("store: following %s was interrupted: %s", kind.resource(), cause.problem());
        listener.interrupted(cause);
    }

    private boolean pauseBefore(int failures) {
        Duration pause = backoff.pauseBefore(failures);
        try {
            TimeUnit.NANOSECONDS.sleep(pause.toNanos());
            return !closed;
        } catch (InterruptedException closing) {
            return false;
        }
    }
}
