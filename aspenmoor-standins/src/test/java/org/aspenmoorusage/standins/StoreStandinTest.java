package org.aspenmoorusage.standins;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.aspenmoor.internal.standins.http.StandinServer;
import org.aspenmoor.internal.standins.store.StoreStandin;
import org.aspenmoor.internal.store.ObjectKey;
import org.aspenmoor.internal.store.ObjectKind;
import org.aspenmoor.internal.store.StoreConflictException;
import org.aspenmoor.internal.store.StoreException;
import org.aspenmoor.internal.store.StoreOutcomeUnknownException;
import org.aspenmoor.internal.store.StoreUnavailableException;
import org.aspenmoor.internal.store.StoredObject;
import org.aspenmoor.internal.store.client.CollectionListener;
import org.aspenmoor.internal.store.client.HttpObjectStore;
import org.aspenmoor.internal.store.client.OutcomeResolvingWriter;
import org.aspenmoor.internal.store.client.StoreSettings;
import org.aspenmoor.internal.store.client.WatchedCollection;
import org.aspenmoor.internal.store.client.WriteOutcome;
import org.aspenmoor.internal.time.ManualTimeSource;
import org.aspenmoor.internal.time.SystemTimeSource;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** The store client against the store stand-in. */
public class StoreStandinTest {
    private static final ObjectKey KEY = new ObjectKey(ObjectKind.DOCUMENT, "seitkali", "drafting");
    private static final int UNLIMITED_CALLS = 100_000;

    private StoreStandin standin;
    private StandinServer server;
    private HttpObjectStore store;

    @BeforeMethod
    public void start() throws IOException {
        standin = new StoreStandin(new ManualTimeSource(), UNLIMITED_CALLS, 5);
        server = new StandinServer(0, standin);
        server.start();
        store = new HttpObjectStore(
                server.address(),
                new SystemTimeSource(),
                new Random(1),
                StoreSettings.defaults().withBudget(UNLIMITED_CALLS, UNLIMITED_CALLS));
    }

    @AfterMethod
    public void stop() {
        server.close();
        standin.close();
    }

    @Test
    public void should_refuse_a_write_when_its_version_is_outdated() throws StoreException {
        StoredObject first = store.create(KEY, "{\"revision\":1}");
        StoredObject second = store.update(first, "{\"revision\":2}");

        assertEquals(store.read(KEY).orElseThrow(), second);
        assertEquals(store.list(ObjectKind.DOCUMENT, "seitkali").size(), 1);
        assertEquals(store.list(ObjectKind.DOCUMENT, "hojas-andinas").size(), 0);
        assertThrows(StoreConflictException.class, () -> store.update(first, "{\"revision\":9}"));
        assertThrows(StoreConflictException.class, () -> store.create(KEY, "{}"));
        store.delete(second);
        assertTrue(store.read(KEY).isEmpty());
    }

    @Test
    public void should_resolve_a_write_when_its_response_is_lost() throws Exception {
        // The store writes an operator's document and the connection breaks before the response. If the outcome were
        // not resolved, the operator would see a failure although the change is in force everywhere.
        injectFaults("{\"loseAnswers\":1}");

        assertTrue(new OutcomeResolvingWriter(store).create(KEY, "{\"revision\":1}") instanceof WriteOutcome.Applied);
        assertEquals(ledgerCount("writes"), 1);
    }

    @Test
    public void should_refuse_a_write_without_effect_when_the_limit_is_exceeded() throws StoreException {
        StoredObject object = store.create(KEY, "{}");
        for (int write = 1; write < 5; write++) {
            object = store.update(object, "{}");
        }
        StoredObject last = object;

        assertThrows(StoreUnavailableException.class, () -> store.update(last, "{\"revision\":9}"));
        assertEquals(store.read(KEY).orElseThrow(), last);
    }

    @Test
    public void should_distinguish_a_refused_call_from_a_dropped_one_when_the_store_is_out() throws Exception {
        injectFaults("{\"outage\":\"refuse\"}");
        assertThrows(StoreUnavailableException.class, () -> store.create(KEY, "{}"));

        injectFaults("{\"outage\":\"drop\"}");
        assertThrows(StoreOutcomeUnknownException.class, () -> store.create(KEY, "{}"));

        injectFaults("{\"outage\":\"none\"}");
        assertTrue(store.read(KEY).isEmpty());
    }

    @Test
    public void should_answer_reads_from_a_snapshot_when_stale_reads_are_injected() throws Exception {
        // A replica of the store lags: reads return an old document while the new one is in force. A process that
        // trusted the read would return to the old revision.
        StoredObject old = store.create(KEY, "{\"revision\":1}");
        injectFaults("{\"staleReads\":true}");
        StoredObject current = store.update(old, "{\"revision\":2}");

        assertEquals(store.read(KEY).orElseThrow(), old);
        assertEquals(store.list(ObjectKind.DOCUMENT).objects().getFirst(), old);
        injectFaults("{\"staleReads\":false}");
        assertEquals(store.read(KEY).orElseThrow(), current);
    }

    @Test
    public void should_follow_a_collection_when_events_are_discarded() throws Exception {
        // The store ends all watches and compacts its history, so that a watch cannot resume from its last version.
        BlockingQueue<String> received = new LinkedBlockingQueue<>();
        StoredObject first = store.create(KEY, "{\"revision\":1}");
        try (WatchedCollection collection = new WatchedCollection(
                store, ObjectKind.DOCUMENT, new Versions(received), new Random(1), StoreSettings.defaults())) {
            collection.start();
            assertEquals(take(received), first.version());

            StoredObject second = store.update(first, "{\"revision\":2}");
            assertEquals(take(received), second.version());

            injectFaults("{\"endWatches\":true,\"forgetEvents\":true}");
            StoredObject third = store.update(second, "{\"revision\":3}");
            assertEquals(take(received), third.version());
        }
    }

    private void injectFaults(String json) throws Exception {
        StandinCalls.post(server.address().resolve("/standin/faults"), json);
    }

    private int ledgerCount(String name) throws Exception {
        return StandinCalls.get(server.address().resolve("/standin/ledger"))
                .path(name)
                .asInt();
    }

    private static String take(BlockingQueue<String> received) throws InterruptedException {
        return received.poll(30, TimeUnit.SECONDS);
    }

    private record Versions(BlockingQueue<String> received) implements CollectionListener {
        @Override
        public void changed(StoredObject object) {
            received.add(object.version());
        }

        @Override
        public void deleted(StoredObject object) {
            received.add("deleted");
        }

        @Override
        public void synchronised() {
            // This test checks versions only.
        }

        @Override
        public void interrupted(StoreException cause) {
            // This test checks versions only.
        }
    }
}
