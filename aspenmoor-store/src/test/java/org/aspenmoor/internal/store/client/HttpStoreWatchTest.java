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
    private ScriptedStore server;

    @BeforeMethod
    public void start() throws IOException {
        events.clear();
        server = new ScriptedStore();
    }

    @AfterMethod
    public void stop() {
        server.close();
    }

    @Test
    public void should_tell_changes_in_order_and_pass_over_bookmarks() throws Exception {
        List<String> lines = List.of(
                TestObjects.event("ADDED", TestObjects.planJson("1", "{}")),
                "{\"type\":\"BOOKMARK\",\"object\":{\"metadata\":{\"resourceVersion\":\"1\"}}}",
                TestObjects.event("MODIFIED", TestObjects.planJson("2", "{}")),
                TestObjects.event("DELETED", TestObjects.planJson("3", "{}")));
        server.then(new ScriptedStore.Step.Stream(lines, false));
        HttpObjectStore store = store(TestObjects.patient());

        store.watch(ObjectKind.ROLE_PLAN, "0", new QueueingWatchListener(events));

        assertEquals(next(), new CollectionEvent.Changed(TestObjects.plan("1", "{}")));
        assertEquals(next(), new CollectionEvent.Changed(TestObjects.plan("2", "{}")));
        assertEquals(next(), new CollectionEvent.Deleted(TestObjects.plan("3", "{}")));
        assertEquals(store.counts().openWatches(), 1);
    }

    @Test
    public void should_end_where_the_store_ends_the_stream() throws Exception {
        server.then(new ScriptedStore.Step.Stream(List.of(), true));

        store(TestObjects.patient()).watch(ObjectKind.ROLE_PLAN, "0", new QueueingWatchListener(events));

        assertTrue(next() instanceof CollectionEvent.Ended);
    }

    @Test
    public void should_end_where_nothing_is_heard_for_too_long() throws Exception {
        // After a network partition the connection stays open on this side and delivers nothing. Without a time limit
        // the process would treat its documents as current for ever.
        server.then(new ScriptedStore.Step.Stream(List.of(), false));

        store(TestObjects.impatientInSilence()).watch(ObjectKind.ROLE_PLAN, "0", new QueueingWatchListener(events));

        assertTrue(next() instanceof CollectionEvent.Ended ended
                && ended.cause().problem().contains("received nothing"));
    }

    @Test
    public void should_end_where_the_store_reports_an_error_in_the_stream() throws Exception {
        server.then(new ScriptedStore.Step.Stream(List.of(TestObjects.event("ERROR", "{\"code\":410}")), false));

        store(TestObjects.patient()).watch(ObjectKind.ROLE_PLAN, "0", new QueueingWatchListener(events));

        assertTrue(next() instanceof CollectionEvent.Ended ended
                && ended.cause().problem().contains("410"));
    }

    @Test
    public void should_not_begin_where_the_store_has_forgotten_the_version() {
        server.thenAnswer(410, "{}");
        HttpObjectStore store = store(TestObjects.patient());

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
