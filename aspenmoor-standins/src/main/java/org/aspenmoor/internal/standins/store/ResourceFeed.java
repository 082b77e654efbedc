package org.aspenmoor.internal.standins.store;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** The published objects and recent events of one resource, as lists and watches see them. */
final class ResourceFeed {
    private static final int MAX_EVENTS = 20_000;

    private final Map<String, Revision> published = new TreeMap<>();
    private final Deque<ObjectEvent> recent = new ArrayDeque<>();
    private final Set<Watcher> watchers = ConcurrentHashMap.newKeySet();
    private long discardedUpTo;
    private long version;

    synchronized void publish(ObjectEvent event) {
        Revision revision = event.revision();
        String name = revision.name().namespace() + "/" + revision.name().name();
        if (event.type() == ObjectEvent.Type.DELETED) {
            published.remove(name);
        } else {
            published.put(name, revision);
        }
        version = revision.version();
        recent.addLast(event);
        if (recent.size() > MAX_EVENTS) {
            discardedUpTo = recent.removeFirst().revision().version();
        }
        watchers.forEach(watcher -> watcher.offer(event));
    }

    synchronized List<Revision> objects() {
        return new ArrayList<>(published.values());
    }

    synchronized long version() {
        return version;
    }

    /** Starts a watch; empty if events after that version have been discarded. */
    synchronized Optional<Watcher> watch(long fromVersion) {
        if (fromVersion < discardedUpTo) {
            return Optional.empty();
        }
        List<ObjectEvent> pastEvents = new ArrayList<>();
        for (ObjectEvent event : recent) {
            if (event.revision().version() > fromVersion) {
                pastEvents.add(event);
            }
        }
        Watcher watcher = new Watcher(pastEvents);
        watchers.add(watcher);
        return Optional.of(watcher);
    }

    void remove(Watcher watcher) {
        watchers.remove(watcher);
    }

    void endWatches() {
        watchers.forEach(Watcher::end);
    }

    /** Discards all events, as a store does when it compacts its history. */
    synchronized void discardEvents() {
        recent.clear();
        discardedUpTo = version;
    }
}
