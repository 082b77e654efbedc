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

/** The store client and the store stand-in together, as processes use them. */
public class StoreStandinTest {
    private static final ObjectKey KEY = new ObjectKey(ObjectKind.DOCUMENT, "seitkali", "drafting");
    private static final int MANY = 100_000;

    private StoreStandin standin;
    private StandinServer server;
    private HttpObjectStore store;

    @BeforeMethod
    public void start() throws IOException {
        standin = new StoreStandin(new ManualTimeSource(), MANY, 5);
        server = new StandinServer(0, standin);
        server.start();
        store = new HttpObjectStore(
                server.address(),
                new SystemTimeSource(),
                new Random(1),
                StoreSettings.defaults().withBudget(MANY, MANY));
    }

    @AfterMethod
    public void stop() {
        server.close();
        standin.close();
    }

    @Test
    public void should_keep_what_is_written_and_refuse_old_versions() throws StoreException {
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
    public void should_settle_a_write_whose_answer_the_store_loses() throws Exception {
        // The store takes an operator's document and the connection breaks before the answer. Without settling, the
        // operator would be told of a failure while the change is in force everywhere.
        fault("{\"loseAnswers\":1}");

        assertTrue(new OutcomeResolvingWriter(store).create(KEY, "{\"revision\":1}") instanceof WriteOutcome.Applied);
        assertEquals(ledger("writes"), 1);
    }

    @Test
    public void should_refuse_writes_above_the_limit_without_doing_them() throws StoreException {
        StoredObject object = store.create(KEY, "{}");
        for (int write = 1; write < 5; write++) {
            object = store.update(object, "{}");
        }
        StoredObject last = object;

        assertThrows(StoreUnavailableException.class, () -> store.update(last, "{\"revision\":9}"));
        assertEquals(store.read(KEY).orElseThrow(), last);
    }

    @Test
    public void should_tell_an_outage_that_answers_from_one_that_is_silent() throws Exception {
        fault("{\"outage\":\"refuse\"}");
        assertThrows(StoreUnavailableException.class, () -> store.create(KEY, "{}"));

        fault("{\"outage\":\"drop\"}");
        assertThrows(StoreOutcomeUnknownException.class, () -> store.create(KEY, "{}"));

        fault("{\"outage\":\"none\"}");
        assertTrue(store.read(KEY).isEmpty());
    }

    @Test
    public void should_answer_reads_from_an_old_replica_while_writes_go_on() throws Exception {
        // One replica of the store lags: reads show an old document while the new one is in force. A process that
        // trusted the read would go back to the old revision.
        StoredObject old = store.create(KEY, "{\"revision\":1}");
        fault("{\"staleReads\":true}");
        StoredObject current = store.update(old, "{\"revision\":2}");

        assertEquals(store.read(KEY).orElseThrow(), old);
        assertEquals(store.list(ObjectKind.DOCUMENT).objects().getFirst(), old);
        fault("{\"staleReads\":false}");
        assertEquals(store.read(KEY).orElseThrow(), current);
    }

    @Test
    public void should_follow_a_collection_through_lost_events() throws Exception {
        // The store ends all watches and compacts its history, so that the old place cannot be taken up again.
        BlockingQueue<String> heard = new LinkedBlockingQueue<>();
        StoredObject first = store.create(KEY, "{\"revision\":1}");
        try (WatchedCollection collection = new WatchedCollection(
                store, ObjectKind.DOCUMENT, new Versions(heard), new Random(1), StoreSettings.defaults())) {
            collection.start();
            assertEquals(take(heard), first.version());

            StoredObject second = store.update(first, "{\"revision\":2}");
            assertEquals(take(heard), second.version());

            fault("{\"endWatches\":true,\"forgetEvents\":true}");
            StoredObject third = store.update(second, "{\"revision\":3}");
            assertEquals(take(heard), third.version());
        }
    }

    private void fault(String json) throws Exception {
        StandinCalls.post(server.address().resolve("/standin/faults"), json);
    }

    private int ledger(String name) throws Exception {
        return StandinCalls.get(server.address().resolve("/standin/ledger"))
                .path(name)
                .asInt();
    }

    private static String take(BlockingQueue<String> heard) throws InterruptedException {
        return heard.poll(30, TimeUnit.SECONDS);
    }

    private record Versions(BlockingQueue<String> heard) implements CollectionListener {
        @Override
        public void changed(StoredObject object) {
            heard.add(object.version());
        }

        @Override
        public void deleted(StoredObject object) {
            heard.add("deleted");
        }

        @Override
        public void synchronised() {
            // Only versions are of interest here.
        }

        @Override
        public void interrupted(StoreException cause) {
            // Only versions are of interest here.
        }
    }
}
