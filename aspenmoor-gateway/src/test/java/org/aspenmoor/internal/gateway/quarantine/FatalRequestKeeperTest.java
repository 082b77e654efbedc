package org.aspenmoor.internal.gateway.quarantine;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Random;
import org.aspenmoor.internal.gateway.log.DecisionLog;
import org.aspenmoor.internal.serving.quarantine.Quarantine;
import org.aspenmoor.internal.serving.quarantine.RequestDigest;
import org.aspenmoor.internal.serving.quarantine.ServerEnd;
import org.aspenmoor.internal.serving.quarantine.ServerStart;
import org.aspenmoor.internal.serving.quarantine.Verdict;
import org.aspenmoor.internal.store.InMemoryObjectStore;
import org.aspenmoor.internal.store.ObjectKey;
import org.aspenmoor.internal.store.ObjectKind;
import org.aspenmoor.internal.store.StoreException;
import org.aspenmoor.internal.store.StoredObject;
import org.aspenmoor.internal.time.ManualTimeSource;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class FatalRequestKeeperTest {
    private static final RequestDigest REQUEST = new RequestDigest(1, 2);

    private InMemoryObjectStore store;
    private ManualTimeSource time;
    private boolean known;
    private FatalRequests requests;
    private FatalRequestKeeper keeper;

    @BeforeMethod
    public void start() {
        store = new InMemoryObjectStore();
        time = new ManualTimeSource();
        known = false;
        requests = new FatalRequests(time, log());
        keeper = keeper(requests);
    }

    @Test
    public void should_keep_a_request_that_was_at_two_servers_that_ended() throws Exception {
        ended("one", "two");

        assertTrue(keeper.step());

        assertEquals(ends(stored().getFirst()).size(), 2);
    }

    // Guards against a store that fills with the requests which every server that ends takes with it.
    @Test
    public void should_not_keep_a_request_that_was_at_one_such_server() throws Exception {
        ended("one");

        assertTrue(keeper.step());

        assertEquals(stored(), List.of());
    }

    @Test
    public void should_write_nothing_twice() throws Exception {
        ended("one", "two");
        keeper.step();
        StoredObject written = stored().getFirst();

        keeper.step();

        assertEquals(stored().getFirst(), written);
    }

    // Guards against an entry that starts and knows nothing of what others have learnt before.
    @Test
    public void should_take_in_what_another_entry_kept() throws Exception {
        ended("one", "two");
        keeper.step();
        FatalRequests started = new FatalRequests(time, log());
        FatalRequestKeeper other = keeper(started);

        stored().forEach(other::changed);
        other.synchronised();

        assertTrue(known);
        assertTrue(started.verdict(REQUEST) instanceof Verdict.Quarantined);
    }

    // Guards against a request that is forgotten because the store came back from an older copy.
    @Test
    public void should_write_again_what_the_store_has_lost() throws Exception {
        ended("one", "two");
        keeper.step();
        StoredObject lost = stored().getFirst();
        store.delete(lost);
        keeper.deleted(lost);

        keeper.step();

        assertEquals(stored().size(), 1);
    }

    // Guards against two entries of which one overwrites what the other has seen.
    @Test
    public void should_add_to_what_another_entry_has_written() throws Exception {
        ended("one", "two");
        keeper.step();
        FatalRequests others = new FatalRequests(time, log());
        FatalRequestKeeper other = keeper(others);
        others.serverEnded(REQUEST, new ServerStart("three", 1));
        others.serverEnded(REQUEST, new ServerStart("four", 1));
        assertFalse(other.step(), "it has not heard of the object yet");
        stored().forEach(other::changed);

        assertTrue(other.step());

        assertEquals(ends(stored().getFirst()).size(), 4);
    }

    @Test
    public void should_note_that_a_request_was_answered() throws Exception {
        ended("one", "two");
        keeper.step();
        requests.answered(REQUEST);

        keeper.step();

        assertTrue(ends(stored().getFirst()).stream().allMatch(ServerEnd::excused));
    }

    @Test
    public void should_delete_what_is_too_old() throws Exception {
        ended("one", "two");
        keeper.step();
        time.advance(Quarantine.RETENTION.plus(Duration.ofHours(1)));
        requests.check();

        keeper.step();

        assertEquals(stored(), List.of());
    }

    // Guards against an entry that stops at an object which somebody else wrote.
    @Test
    public void should_go_on_after_an_object_that_makes_no_sense() throws Exception {
        StoredObject strange =
                store.create(new ObjectKey(ObjectKind.FATAL_REQUEST, ObjectKey.PLATFORM_NAMESPACE, "no digest"), "{}");
        keeper.changed(strange);
        ended("one", "two");

        assertTrue(keeper.step());

        assertEquals(stored().size(), 2);
    }

    private FatalRequestKeeper keeper(FatalRequests of) {
        return new FatalRequestKeeper(store, of, () -> known = true, Runnable::run, time, new Random(1), log());
    }

    private void ended(String... servers) {
        for (String server : servers) {
            requests.serverEnded(REQUEST, new ServerStart(server, 1));
        }
    }

    private List<StoredObject> stored() {
        return store.list(ObjectKind.FATAL_REQUEST).objects();
    }

    private List<ServerEnd> ends(StoredObject object) throws StoreException {
        return FatalRequestCodec.read(object, time.wallClockTime().toEpochMilli());
    }

    private DecisionLog log() {
        return new DecisionLog(
                time, "test", new PrintStream(new ByteArrayOutputStream(), true, StandardCharsets.UTF_8));
    }
}
