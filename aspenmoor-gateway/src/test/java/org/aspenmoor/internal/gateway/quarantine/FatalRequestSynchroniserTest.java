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
import org.aspenmoor.internal.serving.quarantine.QuarantineDecision;
import org.aspenmoor.internal.serving.quarantine.ServerIncarnation;
import org.aspenmoor.internal.serving.quarantine.ServerTermination;
import org.aspenmoor.internal.serving.quarantine.SuspectDigest;
import org.aspenmoor.internal.store.InMemoryObjectStore;
import org.aspenmoor.internal.store.ObjectKey;
import org.aspenmoor.internal.store.ObjectKind;
import org.aspenmoor.internal.store.StoreException;
import org.aspenmoor.internal.store.StoredObject;
import org.aspenmoor.internal.time.ManualTimeSource;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class FatalRequestSynchroniserTest {
    private static final SuspectDigest REQUEST = new SuspectDigest(1, 2);

    private InMemoryObjectStore store;
    private ManualTimeSource time;
    private boolean synchronised;
    private FatalRequestTracker tracker;
    private FatalRequestSynchroniser synchroniser;

    @BeforeMethod
    public void start() {
        store = new InMemoryObjectStore();
        time = new ManualTimeSource();
        synchronised = false;
        tracker = new FatalRequestTracker(time, log(), suspect -> Duration.ZERO);
        synchroniser = synchroniser(tracker);
    }

    @Test
    public void should_store_a_request_when_two_servers_terminated() throws Exception {
        terminated("one", "two");

        assertTrue(synchroniser.updateStore());

        assertEquals(terminations(stored().getFirst()).size(), 2);
    }

    // Guards against filling the store with every request that happened to be on a terminating server.
    @Test
    public void should_not_store_a_request_when_one_server_terminated() throws Exception {
        terminated("one");

        assertTrue(synchroniser.updateStore());

        assertEquals(stored(), List.of());
    }

    @Test
    public void should_write_nothing_when_the_store_is_up_to_date() throws Exception {
        terminated("one", "two");
        synchroniser.updateStore();
        StoredObject written = stored().getFirst();

        synchroniser.updateStore();

        assertEquals(stored().getFirst(), written);
    }

    // Guards against an entry that starts without knowing what others have learnt.
    @Test
    public void should_quarantine_a_request_when_another_entry_has_stored_it() throws Exception {
        terminated("one", "two");
        synchroniser.updateStore();
        FatalRequestTracker newTracker = new FatalRequestTracker(time, log(), suspect -> Duration.ZERO);
        FatalRequestSynchroniser other = synchroniser(newTracker);

        stored().forEach(other::changed);
        other.synchronised();

        assertTrue(synchronised);
        assertTrue(newTracker.decide(REQUEST, "") instanceof QuarantineDecision.Quarantined);
    }

    // Guards against forgetting a request because the store was restored from an older copy.
    @Test
    public void should_write_a_request_again_when_the_store_has_lost_it() throws Exception {
        terminated("one", "two");
        synchroniser.updateStore();
        StoredObject lost = stored().getFirst();
        store.delete(lost);
        synchroniser.deleted(lost);

        synchroniser.updateStore();

        assertEquals(stored().size(), 1);
    }

    // Guards against one entry overwriting what another has observed.
    @Test
    public void should_merge_terminations_when_another_entry_has_written_first() throws Exception {
        terminated("one", "two");
        synchroniser.updateStore();
        FatalRequestTracker otherTracker = new FatalRequestTracker(time, log(), suspect -> Duration.ZERO);
        FatalRequestSynchroniser other = synchroniser(otherTracker);
        otherTracker.serverTerminated(REQUEST, new ServerIncarnation("three", 1));
        otherTracker.serverTerminated(REQUEST, new ServerIncarnation("four", 1));
        assertFalse(other.updateStore(), "it has not yet received the object from the watch");
        stored().forEach(other::changed);

        assertTrue(other.updateStore());

        assertEquals(terminations(stored().getFirst()).size(), 4);
    }

    @Test
    public void should_store_terminations_as_cleared_when_the_request_was_answered() throws Exception {
        terminated("one", "two");
        synchroniser.updateStore();
        tracker.requestAnswered(REQUEST, List.of());

        synchroniser.updateStore();

        assertTrue(terminations(stored().getFirst()).stream().allMatch(ServerTermination::cleared));
    }

    @Test
    public void should_delete_a_request_when_its_terminations_have_expired() throws Exception {
        terminated("one", "two");
        synchroniser.updateStore();
        time.advance(Quarantine.RETENTION.plus(Duration.ofHours(1)));
        tracker.expire();

        synchroniser.updateStore();

        assertEquals(stored(), List.of());
    }

    // Guards against an entry that stops at an object written by another process.
    @Test
    public void should_continue_when_a_stored_object_is_unreadable() throws Exception {
        StoredObject unreadable =
                store.create(new ObjectKey(ObjectKind.FATAL_REQUEST, ObjectKey.PLATFORM_NAMESPACE, "no digest"), "{}");
        synchroniser.changed(unreadable);
        terminated("one", "two");

        assertTrue(synchroniser.updateStore());

        assertEquals(stored().size(), 2);
    }

    private FatalRequestSynchroniser synchroniser(FatalRequestTracker tracker) {
        return new FatalRequestSynchroniser(
                store, tracker, () -> synchronised = true, Runnable::run, time, new Random(1), log());
    }

    private void terminated(String... serverIds) {
        for (String serverId : serverIds) {
            tracker.serverTerminated(REQUEST, new ServerIncarnation(serverId, 1));
        }
    }

    private List<StoredObject> stored() {
        return store.list(ObjectKind.FATAL_REQUEST).objects();
    }

    private List<ServerTermination> terminations(StoredObject object) throws StoreException {
        return FatalRequestCodec.parse(object, time.wallClockTime().toEpochMilli());
    }

    private DecisionLog log() {
        return new DecisionLog(
                time, "test", new PrintStream(new ByteArrayOutputStream(), true, StandardCharsets.UTF_8));
    }
}
