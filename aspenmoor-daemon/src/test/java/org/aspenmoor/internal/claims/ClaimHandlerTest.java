package org.aspenmoor.internal.claims;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.aspenmoor.RequestId;
import org.aspenmoor.internal.claim.ClaimCommitter;
import org.aspenmoor.internal.claim.ClaimDecision;
import org.aspenmoor.internal.claim.ClaimKey;
import org.aspenmoor.internal.claim.ClaimRequest;
import org.aspenmoor.internal.claim.ClaimSettings;
import org.aspenmoor.internal.claim.RecordedAnswer;
import org.aspenmoor.internal.retry.CircuitBreaker;
import org.aspenmoor.internal.store.InMemoryObjectStore;
import org.aspenmoor.internal.store.ObjectKey;
import org.aspenmoor.internal.store.ObjectKind;
import org.aspenmoor.internal.store.ObjectStore;
import org.aspenmoor.internal.store.StoreException;
import org.aspenmoor.internal.store.StoreListing;
import org.aspenmoor.internal.store.StoreUnavailableException;
import org.aspenmoor.internal.store.StoreWatch;
import org.aspenmoor.internal.store.StoreWatchListener;
import org.aspenmoor.internal.store.StoredObject;
import org.aspenmoor.internal.time.ManualTimeSource;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class ClaimHandlerTest {
    private final ManualTimeSource time = new ManualTimeSource();
    private final List<ClaimDecision> first = new ArrayList<>();
    private final List<ClaimDecision> second = new ArrayList<>();
    private ObjectStore store;
    private long seeds;

    @BeforeMethod
    public void begin() {
        first.clear();
        second.clear();
        store = new InMemoryObjectStore();
    }

    // The caller got its answer, and its client repeats the booking at another entry a moment later. The outcome is on
    // its way to the store; the caller should be told what came of it and not that nobody knows.
    @Test
    public void should_find_an_outcome_that_is_recorded_a_moment_after_the_answer() {
        ClaimHandler one = handler(store, first);
        ClaimHandler other = handler(store, second);
        ask(one, 1);
        ClaimDecision.Granted granted = (ClaimDecision.Granted) first.getFirst();

        ask(other, 2);
        assertTrue(second.isEmpty());
        one.handle(new ClaimMessage.Answered(
                granted.ticket(), new RecordedAnswer(201, "text/plain", Optional.empty(), "digest")));
        pass(one);
        pass(other);

        assertTrue(second.getFirst() instanceof ClaimDecision.AlreadyAnswered);
    }

    // The entry that ran the booking was killed before it could record anything. The repeat must not wait for ever.
    @Test
    public void should_say_that_nobody_knows_after_a_few_looks() {
        ask(handler(store, first), 1);
        ClaimHandler other = handler(store, second);

        ask(other, 2);
        for (int look = 0; look < 3; look++) {
            pass(other);
        }

        assertTrue(second.getFirst() instanceof ClaimDecision.OutcomeUnknown);
    }

    // The store keeps silent, so every batch costs a whole time-out. Calls that come later are refused without it.
    @Test
    public void should_refuse_at_once_after_the_store_has_failed() {
        SwitchedStore broken = new SwitchedStore();
        broken.silent = true;
        ClaimHandler handler = handler(broken, first);

        for (int request = 1; request <= 5; request++) {
            ask(handler, request);
        }

        assertEquals(first.size(), 5);
        assertTrue(first.stream().allMatch(verdict -> verdict instanceof ClaimDecision.NotClaimed));
        assertEquals(broken.callsInSilence, 1);
    }

    // Outcomes of calls that ran wait to be written when the store falls silent. A call that comes then would wait
    // behind
    // their time-outs, one after the other, before it is told that it did not run.
    @Test
    public void should_refuse_at_once_while_outcomes_wait_for_a_silent_store() {
        SwitchedStore switched = new SwitchedStore();
        ClaimHandler handler = handler(switched, first);
        for (int request = 1; request <= 8; request++) {
            ClaimKey key = new ClaimKey("studio", "desk", "key-" + request);
            handler.handle(new ClaimMessage.Asked(new ClaimRequest(new RequestId(0, request), key, "digest")));
        }
        handler.batchEnded();
        for (ClaimDecision verdict : List.copyOf(first)) {
            ClaimDecision.Granted granted = (ClaimDecision.Granted) verdict;
            handler.handle(new ClaimMessage.Answered(
                    granted.ticket(), new RecordedAnswer(201, "text/plain", Optional.empty(), "digest")));
        }
        first.clear();
        switched.silent = true;

        pass(handler);
        ask(handler, 9);

        assertEquals(switched.callsInSilence, 1);
        assertTrue(first.getFirst() instanceof ClaimDecision.NotClaimed);
    }

    // Many narrators' booths are booked at once. Without the pace every claim would be a write of its own, and the
    // entry's share of store calls would be gone before an operator's change gets through.
    @Test
    public void should_let_claims_share_a_commit_when_they_come_faster_than_the_pace() {
        ClaimHandler handler = handler(store, first, 1);
        for (int request = 1; request <= 20; request++) {
            ClaimKey key = new ClaimKey("studio", "desk", "key-" + request);
            handler.handle(new ClaimMessage.Asked(new ClaimRequest(new RequestId(0, request), key, "digest")));
            handler.batchEnded();
        }
        int atOnce = first.size();

        for (int second = 0; second < ClaimSettings.DEFAULT.bucketsPerTeam(); second++) {
            time.advance(Duration.ofSeconds(1));
            handler.batchEnded();
        }

        assertEquals(atOnce, 1);
        assertEquals(first.size(), 20);
    }

    private void pass(ClaimHandler handler) {
        time.advance(Duration.ofMillis(250));
        handler.handle(new ClaimMessage.Tick());
        handler.batchEnded();
    }

    private static void ask(ClaimHandler handler, long request) {
        ClaimKey key = new ClaimKey("studio", "desk", "key-1");
        handler.handle(new ClaimMessage.Asked(new ClaimRequest(new RequestId(0, request), key, "digest")));
        handler.batchEnded();
    }

    private ClaimHandler handler(ObjectStore claimsIn, List<ClaimDecision> verdicts) {
        return handler(claimsIn, verdicts, 100);
    }

    private ClaimHandler handler(ObjectStore claimsIn, List<ClaimDecision> verdicts, double commitsPerSecond) {
        ClaimSettings settings = ClaimSettings.DEFAULT;
        Random random = new Random(seeds++);
        ClaimCommitter committer = new ClaimCommitter(claimsIn, settings, time, random);
        CircuitBreaker breaker = new CircuitBreaker(ClaimHandler.STORE_BREAKER, time, random);
        return new ClaimHandler(committer, settings, breaker, time, commitsPerSecond, verdicts::add);
    }

    /** A store that answers until it is told to keep silent; each call then takes three seconds. */
    private final class SwitchedStore implements ObjectStore {
        private final InMemoryObjectStore answering = new InMemoryObjectStore();
        private boolean silent;
        private int callsInSilence;

        @Override
        public Optional<StoredObject> read(ObjectKey key) throws StoreException {
            answer();
            return answering.read(key);
        }

        @Override
        public StoreListing list(ObjectKind kind) throws StoreException {
            answer();
            return answering.list(kind);
        }

        @Override
        public List<StoredObject> list(ObjectKind kind, String namespace) throws StoreException {
            answer();
            return answering.list(kind, namespace);
        }

        @Override
        public StoredObject create(ObjectKey key, String value) throws StoreException {
            answer();
            return answering.create(key, value);
        }

        @Override
        public StoredObject update(StoredObject read, String value) throws StoreException {
            answer();
            return answering.update(read, value);
        }

        @Override
        public void delete(StoredObject read) throws StoreException {
            answer();
            answering.delete(read);
        }

        @Override
        public StoreWatch watch(ObjectKind kind, String fromVersion, StoreWatchListener listener)
                throws StoreException {
            answer();
            return answering.watch(kind, fromVersion, listener);
        }

        private void answer() throws StoreUnavailableException {
            if (silent) {
                callsInSilence++;
                time.advance(Duration.ofSeconds(3));
                throw new StoreUnavailableException("The store does not answer.", "store", "Try again later.");
            }
        }
    }
}
