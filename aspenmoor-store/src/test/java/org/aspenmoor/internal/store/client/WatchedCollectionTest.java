package org.aspenmoor.internal.store.client;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.aspenmoor.internal.store.ObjectKey;
import org.aspenmoor.internal.store.ObjectKind;
import org.aspenmoor.internal.store.StoreException;
import org.aspenmoor.internal.store.StoreUnavailableException;
import org.aspenmoor.internal.store.StoreWatchListener;
import org.aspenmoor.internal.store.StoredObject;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class WatchedCollectionTest {
    private static final ObjectKey OTHER = new ObjectKey(ObjectKind.ROLE_PLAN, "seitkali", "drafting.almaty-2");

    private FaultyObjectStore store;
    private RecordingListener listener;
    private WatchedCollection collection;

    @BeforeMethod
    public void start() {
        store = new FaultyObjectStore();
        listener = new RecordingListener();
        StoreSettings defaults = StoreSettings.defaults();
        StoreSettings shortBackoff = new StoreSettings(
                defaults.connectTimeout(),
                defaults.callTimeout(),
                defaults.readDeadline(),
                Duration.ofNanos(1),
                Duration.ofNanos(1),
                defaults.watchIdleTimeout(),
                1,
                1);
        collection = new WatchedCollection(store, ObjectKind.ROLE_PLAN, listener, new Random(1), shortBackoff);
    }

    @AfterMethod
    public void stop() {
        collection.close();
    }

    @Test
    public void should_report_list_and_then_changes_when_started() throws Exception {
        store.put(TestObjects.PLAN, "{}");

        collection.start();
        StoreWatchListener watch = store.nextWatch();
        watch.changed(store.put(OTHER, "{}"));

        assertEquals(listener.next(), "changed drafting.almaty-1 1");
        assertEquals(listener.next(), "synchronised");
        assertEquals(listener.next(), "changed drafting.almaty-2 2");
    }

    @Test
    public void should_report_missed_changes_and_deletions_when_watch_was_interrupted() throws Exception {
        // The watch breaks, and before the next one starts, one plan is replaced and another deleted. Without comparing
        // the new list with the known objects, the deleted plan would stay in use for ever.
        store.put(TestObjects.PLAN, "{}");
        store.put(OTHER, "{}");
        collection.start();
        StoreWatchListener watch = store.nextWatch();
        listener.skip(3);

        store.put(TestObjects.PLAN, "{\"term\":2}");
        store.remove(OTHER);
        watch.ended(new StoreUnavailableException("The connection broke.", "test", "Wait."));

        assertEquals(listener.next(), "interrupted");
        assertEquals(listener.next(), "deleted drafting.almaty-2 2");
        assertEquals(listener.next(), "changed drafting.almaty-1 3");
        assertEquals(listener.next(), "synchronised");
    }

    @Test
    public void should_not_report_object_again_when_version_is_unchanged() throws Exception {
        StoredObject plan = store.put(TestObjects.PLAN, "{}");
        collection.start();
        StoreWatchListener watch = store.nextWatch();
        listener.skip(2);

        watch.changed(plan);
        watch.ended(new StoreUnavailableException("The connection broke.", "test", "Wait."));

        assertEquals(listener.next(), "interrupted");
        assertEquals(listener.next(), "synchronised");
    }

    @Test
    public void should_synchronise_when_store_becomes_available() throws Exception {
        // The store is unavailable when the process starts and becomes available later.
        store.failNextReads(3);
        store.put(TestObjects.PLAN, "{}");

        collection.start();

        assertEquals(listener.next(), "interrupted");
        assertEquals(listener.next(), "interrupted");
        assertEquals(listener.next(), "interrupted");
        assertEquals(listener.next(), "changed drafting.almaty-1 1");
        assertEquals(listener.next(), "synchronised");
    }

    @Test
    public void should_report_change_again_when_listener_failed() throws Exception {
        // The listener fails on a document because of a bug. If this ended the thread, no further change would ever be
        // processed.
        store.put(TestObjects.PLAN, "{}");
        listener.failOnce();

        collection.start();

        assertEquals(listener.next(), "failed");
        assertEquals(listener.next(), "changed drafting.almaty-1 1");
        assertEquals(listener.next(), "synchronised");
    }

    // Guards against one object that cannot be processed and takes all others of its kind away.
    @Test
    public void should_go_on_with_the_other_objects_when_processing_one_always_fails() throws Exception {
        store.put(TestObjects.PLAN, "{}");
        store.put(OTHER, "{}");
        listener.failAlways(TestObjects.PLAN);

        collection.start();

        List<String> lines = listener.linesUntil("synchronised");
        assertEquals(Collections.frequency(lines, "failed"), 2);
        assertTrue(lines.contains("changed " + OTHER.name() + " 2"), lines.toString());
    }

    private static final class RecordingListener implements CollectionListener {
        private final BlockingQueue<String> lines = new LinkedBlockingQueue<>();
        private volatile boolean failing;
        private volatile Optional<ObjectKey> failingAlways = Optional.empty();

        void failAlways(ObjectKey key) {
            failingAlways = Optional.of(key);
        }

        List<String> linesUntil(String last) throws InterruptedException {
            List<String> before = new ArrayList<>();
            for (String line = next(); !last.equals(line); line = next()) {
                before.add(line);
            }
            return before;
        }

        void failOnce() {
            failing = true;
        }

        @Override
        public void changed(StoredObject object) {
            if (failing || failingAlways.equals(Optional.of(object.key()))) {
                failing = false;
                lines.add("failed");
                throw new IllegalStateException("simulated bug");
            }
            lines.add("changed " + object.key().name() + " " + object.version());
        }

        @Override
        public void deleted(StoredObject object) {
            lines.add("deleted " + object.key().name() + " " + object.version());
        }

        @Override
        public void synchronised() {
            lines.add("synchronised");
        }

        @Override
        public void interrupted(StoreException cause) {
            lines.add("interrupted");
        }

        String next() throws InterruptedException {
            String line = lines.poll(30, TimeUnit.SECONDS);
            assertTrue(line != null, "no event arrived within 30 s");
            return line;
        }

        void skip(int count) throws InterruptedException {
            for (int line = 0; line < count; line++) {
                next();
            }
        }
    }
}
