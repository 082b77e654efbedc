package org.aspenmoor.internal.standins.store;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * The objects of the store, held in memory.
 *
 * <p>Lists and watches of hosts can show a change with a delay, as the platform's host list does.
 */
final class ObjectTable implements AutoCloseable {
    static final String HOSTS = "hosts";

    private final Map<ObjectName, Revision> objects = new HashMap<>();
    private final Map<String, ResourceFeed> feeds = new HashMap<>();
    private final ScheduledExecutorService publisher = Executors.newSingleThreadScheduledExecutor(
            Thread.ofPlatform().daemon().name("standin-publisher").factory());
    private long version;
    private long hostLagMilliseconds;
    private Optional<Snapshot> staleSnapshot = Optional.empty();

    /** Reads an object; empty if it does not exist. */
    synchronized Optional<Revision> read(ObjectName name) {
        if (staleSnapshot.isPresent()) {
            return Optional.ofNullable(staleSnapshot.get().objects().get(name));
        }
        return Optional.ofNullable(objects.get(name));
    }

    /** Lists the objects of a resource in one namespace, or in all if none is given. */
    synchronized ObjectListing list(String resource, Optional<String> namespace) {
        if (staleSnapshot.isPresent()) {
            return staleSnapshot.get().list(resource, namespace);
        }
        ResourceFeed feed = feed(resource);
        return ObjectListing.of(feed.objects(), namespace, feed.version());
    }

    synchronized WriteResult create(ObjectName name, ObjectNode spec) {
        if (objects.containsKey(name)) {
            return new WriteResult.Conflict("AlreadyExists");
        }
        return write(ObjectEvent.Type.ADDED, name, spec);
    }

    synchronized WriteResult update(ObjectName name, Optional<Long> expected, ObjectNode spec) {
        Revision before = objects.get(name);
        if (before == null) {
            return new WriteResult.Missing();
        }
        if (expected.isPresent() && expected.get() != before.version()) {
            return new WriteResult.Conflict("Conflict");
        }
        return write(ObjectEvent.Type.MODIFIED, name, spec);
    }

    synchronized WriteResult delete(ObjectName name, Optional<Long> expected) {
        Revision before = objects.get(name);
        if (before == null) {
            return new WriteResult.Missing();
        }
        if (expected.isPresent() && expected.get() != before.version()) {
            return new WriteResult.Conflict("Conflict");
        }
        objects.remove(name);
        version++;
        Revision last = new Revision(name, version, before.spec());
        publish(new ObjectEvent(ObjectEvent.Type.DELETED, last));
        return new WriteResult.Written(last);
    }

    synchronized ResourceFeed feed(String resource) {
        return feeds.computeIfAbsent(resource, _ -> new ResourceFeed());
    }

    /** Sets the delay after which lists and watches show a change of the host list. */
    synchronized void setHostLag(long milliseconds) {
        hostLagMilliseconds = milliseconds;
    }

    /** Starts or stops answering reads and lists from a snapshot of the current state, as a lagging replica would. */
    synchronized void setStaleReads(boolean enabled) {
        if (!enabled) {
            staleSnapshot = Optional.empty();
            return;
        }
        Map<String, ObjectListing> listings = new HashMap<>();
        feeds.forEach((resource, feed) -> listings.put(resource, new ObjectListing(feed.objects(), feed.version())));
        staleSnapshot = Optional.of(new Snapshot(Map.copyOf(objects), listings));
    }

    /** Ends all open watches. */
    synchronized void endWatches() {
        feeds.values().forEach(ResourceFeed::endWatches);
    }

    /** Discards the event history, so that watches from old versions are refused. */
    synchronized void discardEvents() {
        feeds.values().forEach(ResourceFeed::discardEvents);
    }

    synchronized List<Revision> all() {
        return List.copyOf(objects.values());
    }

    @Override
    public void close() {
        publisher.shutdownNow();
    }

    private WriteResult write(ObjectEvent.Type type, ObjectName name, ObjectNode spec) {
        version++;
        Revision revision = new Revision(name, version, spec);
        objects.put(name, revision);
        publish(new ObjectEvent(type, revision));
        return new WriteResult.Written(revision);
    }

    private void publish(ObjectEvent event) {
        String resource = event.revision().name().resource();
        ResourceFeed feed = feed(resource);
        if (resource.equals(HOSTS) && hostLagMilliseconds > 0) {
            Future<?> _ = publisher.schedule(() -> feed.publish(event), hostLagMilliseconds, TimeUnit.MILLISECONDS);
            return;
        }
        feed.publish(event);
    }
}
