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
    private final List<ClaimDecision> firstDecisions = new ArrayList<>();
    private final List<ClaimDecision> secondDecisions = new ArrayList<>();
    private ObjectStore store;
    private long seeds;

    @BeforeMethod
    public void createStore() {
        firstDecisions.clear();
        secondDecisions.clear();
        store = new InMemoryObjectStore();
    }

    // The caller received its answer, and its client retries the booking at another entry a moment later, before the
    // outcome is in the store. The retry should receive the recorded outcome and not an unknown one.
    @Test
    public void should_return_the_recorded_answer_when_it_is_written_shortly_after_the_claim() {
        ClaimHandler firstHandler = handler(store, firstDecisions);
        ClaimHandler secondHandler = handler(store, secondDecisions);
        requestClaim(firstHandler, 1);
        ClaimDecision.Granted granted = (ClaimDecision.Granted) firstDecisions.getFirst();

        requestClaim(secondHandler, 2);
        assertTrue(secondDecisions.isEmpty());
        firstHandler.handle(new ClaimMessage.Answered(
                granted.ticket(), new RecordedAnswer(201, "text/plain", Optional.empty(), "digest")));
        advanceAndTick(firstHandler);
        advanceAndTick(secondHandler);

        assertTrue(secondDecisions.getFirst() instanceof ClaimDecision.AlreadyAnswered);
    }

    // The entry that ran the booking was killed before it could record anything. The retry must not wait indefinitely.
    @Test
    public void should_report_an_unknown_outcome_after_the_last_recheck() {
        requestClaim(handler(store, firstDecisions), 1);
        ClaimHandler secondHandler = handler(store, secondDecisions);

        requestClaim(secondHandler, 2);
        for (int recheck = 0; recheck < 3; recheck++) {
            advanceAndTick(secondHandler);
        }

        assertTrue(secondDecisions.getFirst() instanceof ClaimDecision.OutcomeUnknown);
    }

    // The store is unresponsive, so every batch costs a full time-out. Later calls are refused without waiting for it.
    @Test
    public void should_refuse_without_a_store_call_after_the_store_has_failed() {
        SwitchableStore store = new SwitchableStore();
        store.unresponsive = true;
        ClaimHandler handler = handler(store, firstDecisions);

        for (int request = 1; request <= 5; request++) {
            requestClaim(handler, request);
        }

        assertEquals(firstDecisions.size(), 5);
        assertTrue(firstDecisions.stream().allMatch(decision -> decision instanceof ClaimDecision.NotClaimed));
        assertEquals(store.callsWhileUnresponsive, 1);
    }

    // Outcomes of completed calls wait to be written when the store becomes unresponsive. A call that arrives then
    // would wait for their time-outs, one after the other, before it is refused as not run.
    @Test
    public void should_refuse_without_a_store_call_while_outcomes_wait_for_an_unresponsive_store() {
        SwitchableStore switched = new SwitchableStore();
        ClaimHandler handler = handler(switched, firstDecisions);
        for (int request = 1; request <= 8; request++) {
            ClaimKey key = new ClaimKey("studio", "desk", "key-" + request);
            handler.handle(new ClaimMessage.Asked(new ClaimRequest(new RequestId(0, request), key, "digest")));
        }
        handler.batchEnded();
        for (ClaimDecision decision : List.copyOf(firstDecisions)) {
            ClaimDecision.Granted granted = (ClaimDecision.Granted) decision;
            handler.handle(new ClaimMessage.Answered(
                    granted.ticket(), new RecordedAnswer(201, "text/plain", Optional.empty(), "digest")));
        }
        firstDecisions.clear();
        switched.unresponsive = true;

        advanceAndTick(handler);
        requestClaim(handler, 9);

        assertEquals(switched.callsWhileUnresponsive, 1);
        assertTrue(firstDecisions.getFirst() instanceof ClaimDecision.NotClaimed);
    }

    // Many bookings arrive at once. Without the commit rate every claim would be a write of its own, and would use up
    // the share of store calls of the entry before a change by an operator is accepted.
    @Test
    public void should_combine_claims_in_one_commit_when_they_arrive_faster_than_the_commit_rate() {
        ClaimHandler handler = handler(store, firstDecisions, 1);
        for (int request = 1; request <= 20; request++) {
            ClaimKey key = new ClaimKey("studio", "desk", "key-" + request);
            handler.handle(new ClaimMessage.Asked(new ClaimRequest(new RequestId(0, request), key, "digest")));
            handler.batchEnded();
        }
        int committedAtOnce = firstDecisions.size();

        for (int second = 0; second < ClaimSettings.DEFAULT.bucketsPerTeam(); second++) {
            time.advance(Duration.ofSeconds(1));
            handler.batchEnded();
        }

        assertEquals(committedAtOnce, 1);
        assertEquals(firstDecisions.size(), 20);
    }

    private void advanceAndTick(ClaimHandler handler) {
        time.advance(Duration.ofMillis(250));
        handler.handle(new ClaimMessage.Tick());
        handler.batchEnded();
    }

    private static void requestClaim(ClaimHandler handler, long request) {
        ClaimKey key = new ClaimKey("studio", "desk", "key-1");
        handler.handle(new ClaimMessage.Asked(new ClaimRequest(new RequestId(0, request), key, "digest")));
        handler.batchEnded();
    }

    private ClaimHandler handler(ObjectStore claimStore, List<ClaimDecision> decisions) {
        return handler(claimStore, decisions, 100);
    }

    private ClaimHandler handler(ObjectStore claimStore, List<ClaimDecision> decisions, double commitsPerSecond) {
        ClaimSettings settings = ClaimSettings.DEFAULT;
        Random random = new Random(seeds++);
        ClaimCommitter committer = new ClaimCommitter(claimStore, settings, time, random);
        CircuitBreaker breaker = new CircuitBreaker(ClaimHandler.STORE_BREAKER, time, random);
        return new ClaimHandler(committer, settings, breaker, time, commitsPerSecond, decisions::add);
    }

    /** A store that can be made unresponsive; each call then takes three seconds. */
    private final class SwitchableStore implements ObjectStore {
        private final InMemoryObjectStore delegate = new InMemoryObjectStore();
        private boolean unresponsive;
        private int callsWhileUnresponsive;

        @Override
        public Optional<StoredObject> read(ObjectKey key) throws StoreException {
            failIfUnresponsive();
            return delegate.read(key);
        }

        @Override
        public StoreListing list(ObjectKind kind) throws StoreException {
            failIfUnresponsive();
            return delegate.list(kind);
        }

        @Override
        public List<StoredObject> list(ObjectKind kind, String namespace) throws StoreException {
            failIfUnresponsive();
            return delegate.list(kind, namespace);
        }

        @Override
        public StoredObject create(ObjectKey key, String value) throws StoreException {
            failIfUnresponsive();
            return delegate.create(key, value);
        }

        @Override
        public StoredObject update(StoredObject read, String value) throws StoreException {
            failIfUnresponsive();
            return delegate.update(read, value);
        }

        @Override
        public void delete(StoredObject read) throws StoreException {
            failIfUnresponsive();
            delegate.delete(read);
        }

        @Override
        public StoreWatch watch(ObjectKind kind, String fromVersion, StoreWatchListener listener)
                throws StoreException {
            failIfUnresponsive();
            return delegate.watch(kind, fromVersion, listener);
        }

        private void failIfUnresponsive() throws StoreUnavailableException {
            if (unresponsive) {
                callsWhileUnresponsive++;
                time.advance(Duration.ofSeconds(3));
                throw new StoreUnavailableException("The store does not answer.", "store", "Try again later.");
            }
        }
    }
}
