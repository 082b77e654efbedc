package org.aspenmoor.internal.store;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * An object store in the memory of one process, for tests and simulations.
 *
 * <p>Watch listeners are called on the thread that made the change, after the change took effect.
 */
public final class InMemoryObjectStore implements ObjectStore {
    /** Spaces the version numbers of two generations so far apart that they never coincide. */
    private static final long VERSIONS_PER_GENERATION = 1_000_000_000_000L;

    private final Object lock = new Object();
    private final Map<ObjectKey, StoredObject> objects = new LinkedHashMap<>();
    private final List<Subscription> subscriptions = new CopyOnWriteArrayList<>();
    private long lastVersion;
    private long generation;

    @Override
    public long generation() {
        synchronized (lock) {
            return generation;
        }
    }

    /** Returns a snapshot of all objects, for {@link #restoreFrom}. */
    public List<StoredObject> snapshot() {
        synchronized (lock) {
            return List.copyOf(objects.values());
        }
    }

    /**
     * Restores the store from an older snapshot: later writes are lost, the generation increases, and all watches end.
     */
    public void restoreFrom(List<StoredObject> snapshot) {
        synchronized (lock) {
            generation++;
            objects.clear();
            lastVersion = generation * VERSIONS_PER_GENERATION;
            snapshot.forEach(object -> put(object.key(), object.value()));
        }
        StoreUnavailableException cause = new StoreUnavailableException(
                "The store was restored from an older snapshot.", "memory", "List the objects again.");
        List<Subscription> endedSubscriptions = List.copyOf(subscriptions);
        subscriptions.removeAll(endedSubscriptions);
        endedSubscriptions.forEach(subscription -> subscription.listener.ended(cause));
    }

    @Override
    public Optional<StoredObject> read(ObjectKey key) {
        synchronized (lock) {
            return Optional.ofNullable(objects.get(key));
        }
    }

    @Override
    public StoreListing list(ObjectKind kind) {
        synchronized (lock) {
            List<StoredObject> found = objects.values().stream()
                    .filter(object -> object.key().kind() == kind)
                    .toList();
            return new StoreListing(found, String.valueOf(lastVersion));
        }
    }

    @Override
    public List<StoredObject> list(ObjectKind kind, String namespace) {
        return list(kind).objects().stream()
                .filter(object -> object.key().namespace().equals(namespace))
                .toList();
    }

    @Override
    public StoredObject create(ObjectKey key, String value) throws StoreConflictException {
        StoredObject created;
        synchronized (lock) {
            if (objects.containsKey(key)) {
                throw new StoreConflictException(
                        "The object already exists.", key.toString(), "Read it and update it.");
            }
            created = put(key, value);
        }
        notifyChanged(created);
        return created;
    }

    @Override
    public StoredObject update(StoredObject read, String value) throws StoreConflictException {
        StoredObject updated;
        synchronized (lock) {
            requireUnchanged(read);
            updated = put(read.key(), value);
        }
        notifyChanged(updated);
        return updated;
    }

    @Override
    public void delete(StoredObject read) throws StoreConflictException {
        synchronized (lock) {
            requireUnchanged(read);
            objects.remove(read.key());
            lastVersion++;
        }
        for (Subscription subscription : subscriptions) {
            if (subscription.kind == read.key().kind()) {
                subscription.listener.deleted(read);
            }
        }
    }

    @Override
    public StoreWatch watch(ObjectKind kind, String fromVersion, StoreWatchListener listener) {
        Subscription subscription = new Subscription(kind, listener);
        List<StoredObject> missed = new ArrayList<>();
        synchronized (lock) {
            long from = Long.parseLong(fromVersion);
            for (StoredObject object : objects.values()) {
                if (object.key().kind() == kind && Long.parseLong(object.version()) > from) {
                    missed.add(object);
                }
            }
            subscriptions.add(subscription);
        }
        missed.forEach(listener::changed);
        return () -> subscriptions.remove(subscription);
    }

    private StoredObject put(ObjectKey key, String value) {
        lastVersion++;
        StoredObject object = new StoredObject(key, String.valueOf(lastVersion), value);
        objects.put(key, object);
        return object;
    }

    private void requireUnchanged(StoredObject read) throws StoreConflictException {
        StoredObject current = objects.get(read.key());
        if (current == null || !current.version().equals(read.version())) {
            throw new StoreConflictException(
                    "The object has changed since it was read.",
                    read.key().toString(),
                    "Read it again and repeat the decision.");
        }
    }

    private void notifyChanged(StoredObject object) {
        for (Subscription subscription : subscriptions) {
            if (subscription.kind == object.key().kind()) {
                subscription.listener.changed(object);
            }
        }
    }

    /** An open watch. */
    private static final class Subscription {
        private final ObjectKind kind;
        private final StoreWatchListener listener;

        Subscription(ObjectKind kind, StoreWatchListener listener) {
            this.kind = kind;
            this.listener = listener;
        }
    }
}
