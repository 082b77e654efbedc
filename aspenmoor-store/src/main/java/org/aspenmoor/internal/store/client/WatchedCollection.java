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
            Duration pause;
            try {
                listAndFollow();
                failures = 0;
                // A store that restarts ends the watches of all processes at once. Listing again at once, all of them
                // would use up its rate in the moment in which it comes back.
                pause = backoff.spread();
            } catch (StoreException failure) {
                interrupted(failure);
                pause = backoff.pauseBefore(failures);
                failures++;
            } catch (RuntimeException mistake) {
                LOG.errorf(mistake, "store: a change of %s could not be taken in, listing again", kind.resource());
                pause = backoff.pauseBefore(failures);
                failures++;
            } catch (InterruptedException closing) {
                return;
            }
            if (!pauseFor(pause)) {
                return;
            }
        }
    }

    private void listAndFollow() throws StoreException, InterruptedException {
        StoreListing listing = store.list(kind);
        takeOver(listing);
        listener.synchronised();
        follow(listing.version());
    }

    /** Follows one watch to its end. */
    private void follow(String version) throws StoreException, InterruptedException {
        BlockingQueue<CollectionEvent> events = new ArrayBlockingQueue<>(MOST_WAITING_EVENTS);
        try (StoreWatch watch = store.watch(kind, version, new EventQueue(events))) {
            while (true) {
                switch (events.take()) {
                    case CollectionEvent.Changed changed -> change(changed.object());
                    case CollectionEvent.Deleted deleted -> delete(deleted.object());
                    case CollectionEvent.Ended ended -> {
                        interrupted(ended.cause());
                        return;
                    }
                }
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

    // What the listener has not taken in is not known yet, so that the next listing tells it again.
    private void change(StoredObject object) {
        StoredObject before = known.get(object.key());
        if (before != null && before.version().equals(object.version())) {
            return;
        }
        listener.changed(object);
        known.put(object.key(), object);
    }

    private void delete(StoredObject object) {
        if (known.containsKey(object.key())) {
            listener.deleted(object);
            known.remove(object.key());
        }
    }

    private void interrupted(StoreException cause) {
        if (closed) {
            return;
        }
        LOG.debugf("store: following %s was interrupted: %s", kind.resource(), cause.problem());
        listener.interrupted(cause);
    }

    private boolean pauseFor(Duration pause) {
        try {
            TimeUnit.NANOSECONDS.sleep(pause.toNanos());
            return !closed;
        } catch (InterruptedException closing) {
            return false;
        }
    }
}
