package org.aspenmoor.internal.store.client;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.List;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.aspenmoor.internal.store.ObjectKind;
import org.aspenmoor.internal.store.StoreUnavailableException;
import org.aspenmoor.internal.time.ManualTimeSource;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class HttpStoreWatchTest {
    private final BlockingQueue<CollectionEvent> events = new LinkedBlockingQueue<>();
    private ScriptedStoreServer server;

    @BeforeMethod
    public void start() throws IOException {
        events.clear();
        server = new ScriptedStoreServer();
    }

    @AfterMethod
    public void stop() {
        server.close();
    }

    @Test
    public void should_report_changes_in_order_when_bookmarks_are_interspersed() throws Exception {
        List<String> lines = List.of(
                TestObjects.event("ADDED", TestObjects.planJson("1", "{}")),
                "{\"type\":\"BOOKMARK\",\"object\":{\"metadata\":{\"resourceVersion\":\"1\"}}}",
                TestObjects.event("MODIFIED", TestObjects.planJson("2", "{}")),
                TestObjects.event("DELETED", TestObjects.planJson("3", "{}")));
        server.then(new ScriptedStoreServer.Step.Stream(lines, false));
        HttpObjectStore store = store(TestObjects.longTimeouts());

        store.watch(ObjectKind.ROLE_PLAN, "0", new QueueingWatchListener(events));

        assertEquals(next(), new CollectionEvent.Changed(TestObjects.plan("1", "{}")));
        assertEquals(next(), new CollectionEvent.Changed(TestObjects.plan("2", "{}")));
        assertEquals(next(), new CollectionEvent.Deleted(TestObjects.plan("3", "{}")));
        assertEquals(store.counts().openWatches(), 1);
    }

    @Test
    public void should_end_when_store_ends_stream() throws Exception {
        server.then(new ScriptedStoreServer.Step.Stream(List.of(), true));

        store(TestObjects.longTimeouts()).watch(ObjectKind.ROLE_PLAN, "0", new QueueingWatchListener(events));

        assertTrue(next() instanceof CollectionEvent.Ended);
    }

    @Test
    public void should_end_when_idle_timeout_expires() throws Exception {
        // After a network partition the connection stays open on this side and delivers nothing. Without a time limit
        // the process would treat its documents as current for ever.
        server.then(new ScriptedStoreServer.Step.Stream(List.of(), false));

        store(TestObjects.shortWatchIdleTimeout()).watch(ObjectKind.ROLE_PLAN, "0", new QueueingWatchListener(events));

        assertTrue(next() instanceof CollectionEvent.Ended ended
                && ended.cause().problem().contains("received nothing"));
    }

    @Test
    public void should_end_when_stream_contains_error() throws Exception {
        server.then(new ScriptedStoreServer.Step.Stream(List.of(TestObjects.event("ERROR", "{\"code\":410}")), false));

        store(TestObjects.longTimeouts()).watch(ObjectKind.ROLE_PLAN, "0", new QueueingWatchListener(events));

        assertTrue(next() instanceof CollectionEvent.Ended ended
                && ended.cause().problem().contains("410"));
    }

    @Test
    public void should_not_open_when_store_no_longer_has_version() {
        server.thenRespond(410, "{}");
        HttpObjectStore store = store(TestObjects.longTimeouts());

        assertThrows(
                StoreUnavailableException.class,
                () -> store.watch(ObjectKind.ROLE_PLAN, "1", new QueueingWatchListener(events)));
        assertEquals(store.counts().openWatches(), 0);
    }

    private HttpObjectStore store(StoreSettings settings) {
        return new HttpObjectStore(server.address(), new ManualTimeSource(), new Random(1), settings);
    }

    private CollectionEvent next() throws InterruptedException {
        CollectionEvent event = events.poll(30, TimeUnit.SECONDS);
        assertTrue(event != null, "no event arrived within 30 s");
        return event;
    }
}
