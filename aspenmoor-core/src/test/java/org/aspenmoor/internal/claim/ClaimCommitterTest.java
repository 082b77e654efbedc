package org.aspenmoor.internal.claim;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.aspenmoor.RequestId;
import org.aspenmoor.internal.fake.FakeStore;
import org.aspenmoor.internal.fake.ScriptedStoreFaults;
import org.aspenmoor.internal.fake.StoreFault;
import org.aspenmoor.internal.store.ObjectKey;
import org.aspenmoor.internal.store.ObjectKind;
import org.aspenmoor.internal.store.StoreException;
import org.aspenmoor.internal.time.ManualTimeSource;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class ClaimCommitterTest {
    private static final ClaimSettings ONE_BUCKET = new ClaimSettings(
            1, Duration.ofHours(24), Duration.ofMillis(100), Duration.ofSeconds(2), 20_000, 400, 1000);
    private static final ObjectKey BUCKET = new ObjectKey(ObjectKind.CLAIM_BUCKET, "seitkali", "bucket-0");
    private static final RecordedAnswer BOOKED =
            new RecordedAnswer(201, "application/json", Optional.of("e30="), "digest-of-body");

    private ManualTimeSource time;
    private FakeStore store;
    private ScriptedStoreFaults faults;
    private ClaimCommitter committer;
    private ClaimCommitter committerOfOtherEntry;
    private int requests;

    @BeforeMethod
    public void setUp() {
        time = new ManualTimeSource();
        store = new FakeStore();
        faults = new ScriptedStoreFaults();
        committer = committer(faults, 1);
        committerOfOtherEntry = committer(new ScriptedStoreFaults(), 2);
    }

    @Test
    public void should_grant_a_new_key_once_and_return_the_recorded_answer_to_retries() {
        ClaimDecision.Granted granted = (ClaimDecision.Granted) claim(committer, "booth-4", "body");
        assertTrue(claim(committer, "booth-4", "body") instanceof ClaimDecision.OutcomeUnknown);

        record(committer, granted.ticket());

        ClaimDecision retry = claim(committerOfOtherEntry, "booth-4", "body");
        assertEquals(((ClaimDecision.AlreadyAnswered) retry).answer(), BOOKED);
    }

    // A caller's library reuses a key for a different booking. If it were answered with the outcome of the first
    // booking, the second would appear to be made although it was not.
    @Test
    public void should_refuse_when_a_key_is_reused_with_another_body() {
        claim(committer, "booth-4", "body");

        assertTrue(claim(committerOfOtherEntry, "booth-4", "other body") instanceof ClaimDecision.KeyReused);
    }

    // A caller sends its booking to two entries concurrently. Both write; exactly one may dispatch.
    @Test
    public void should_grant_a_key_once_when_two_entries_claim_it_concurrently() {
        List<ClaimDecision> decisionsOfOther = new ArrayList<>();
        faults.beforeNextEffect(() -> decisionsOfOther.add(claim(committerOfOtherEntry, "booth-4", "body")));

        ClaimDecision decision = claim(committer, "booth-4", "body");

        assertTrue(decisionsOfOther.getFirst() instanceof ClaimDecision.Granted);
        assertTrue(decision instanceof ClaimDecision.OutcomeUnknown);
    }

    // The store writes the claim, but its answer is lost. If the claim were treated as that of another entry, the
    // outcome of the call would stay unknown although it never ran; if the write were treated as failed, the call
    // would be claimed twice.
    @Test
    public void should_recognise_its_own_claim_when_the_store_answer_was_lost() {
        faults.addWriteFault(StoreFault.ANSWER_LOST);

        assertTrue(claim(committer, "booth-4", "body") instanceof ClaimDecision.Granted);
        assertTrue(claim(committerOfOtherEntry, "booth-4", "body") instanceof ClaimDecision.OutcomeUnknown);
    }

    // The write of a claim is delayed and takes effect while it is being retried. Only one of the two writes takes
    // effect, and the call is granted once.
    @Test
    public void should_grant_once_when_a_delayed_write_takes_effect_during_the_next_attempt() {
        faults.addWriteFault(StoreFault.LANDS_LATE);
        faults.beforeNextEffect(() -> faults.beforeNextEffect(store::deliverDelayed));

        assertTrue(claim(committer, "booth-4", "body") instanceof ClaimDecision.Granted);
        assertTrue(claim(committer, "booth-4", "body") instanceof ClaimDecision.OutcomeUnknown);
    }

    // The store is unavailable. A booking cannot be claimed, so it is refused immediately and has certainly not run.
    @Test
    public void should_refuse_as_not_run_when_the_store_is_unavailable() {
        faults.addReadFault(StoreFault.UNAVAILABLE);

        ClaimDecision decision = claim(committer, "booth-4", "body");

        Duration retryAfter = ((ClaimDecision.NotClaimed) decision).retryAfter();
        assertTrue(retryAfter.compareTo(Duration.ofSeconds(2)) >= 0);
        assertTrue(retryAfter.compareTo(Duration.ofSeconds(4)) <= 0);
        assertTrue(claim(committer, "booth-4", "body") instanceof ClaimDecision.Granted);
    }

    // The store becomes unavailable between a claim that took effect and the read that would have shown it. The
    // caller is told "not run"; when the store is available again, the key must not stay claimed by a call that never
    // ran.
    @Test
    public void should_release_the_key_when_an_unconfirmed_claim_was_refused() {
        claim(committer, "first", "body");
        faults.addWriteFault(StoreFault.ANSWER_LOST);
        faults.addReadFault(StoreFault.UNAVAILABLE);
        assertTrue(claim(committer, "booth-4", "body") instanceof ClaimDecision.NotClaimed);

        assertTrue(claim(committer, "booth-4", "body") instanceof ClaimDecision.Granted);
    }

    // The entry is killed after the claim, before or after the dispatch or before the outcome is recorded. Whether
    // the booking ran is unknown; every retry is told so until the claim expires, and none runs the booking.
    @Test
    public void should_answer_unknown_until_expiry_when_the_claiming_entry_terminated() {
        claim(committer, "booth-4", "body");

        for (int hour = 0; hour < 23; hour++) {
            time.advance(Duration.ofHours(1));
            ClaimCommitter restarted = committer(new ScriptedStoreFaults(), 10 + hour);
            assertTrue(claim(restarted, "booth-4", "body") instanceof ClaimDecision.OutcomeUnknown);
        }
    }

    @Test
    public void should_remove_a_claim_when_its_retention_has_passed() throws StoreException {
        claim(committer, "booth-4", "body");
        time.advance(Duration.ofHours(24).plusSeconds(1));

        claim(committer, "booth-5", "body");

        assertEquals(bucket().entries().size(), 1);
    }

    // An agent reports that a claimed call never started. The caller is told "not run" and may retry it with its key.
    @Test
    public void should_release_the_key_when_the_call_never_started() {
        ClaimDecision.Granted granted = (ClaimDecision.Granted) claim(committer, "booth-4", "body");

        committer.recordNeverStarted(granted.ticket());

        assertTrue(claim(committer, "booth-4", "body") instanceof ClaimDecision.Granted);
    }

    // The store is unavailable when the outcome is to be recorded. The outcome waits and is recorded later; a retry
    // in the meantime is told that the outcome is unknown.
    @Test
    public void should_record_an_outcome_when_the_store_is_available_again() {
        ClaimDecision.Granted granted = (ClaimDecision.Granted) claim(committer, "booth-4", "body");
        faults.addWriteFault(StoreFault.UNAVAILABLE);
        record(committer, granted.ticket());
        assertTrue(claim(committerOfOtherEntry, "booth-4", "body") instanceof ClaimDecision.OutcomeUnknown);

        time.advance(ONE_BUCKET.outcomeDelay());
        committer.commitBatch();

        assertTrue(claim(committerOfOtherEntry, "booth-4", "body") instanceof ClaimDecision.AlreadyAnswered);
    }

    @Test
    public void should_write_once_for_all_waiting_claims() {
        for (int call = 0; call < 200; call++) {
            committer.submit(request("key-" + call, "body"));
        }

        assertEquals(committer.commitBatch().size(), 200);

        assertEquals(store.writes(), 1);
        assertEquals(store.reads(), 1);
    }

    @Test
    public void should_write_an_outcome_together_with_the_next_claim() {
        ClaimDecision.Granted granted = (ClaimDecision.Granted) claim(committer, "key-1", "body");
        committer.recordAnswer(granted.ticket(), BOOKED);
        assertFalse(committer.hasDueWork());

        claim(committer, "key-2", "body");

        assertEquals(store.writes(), 2);
        assertTrue(claim(committerOfOtherEntry, "key-1", "body") instanceof ClaimDecision.AlreadyAnswered);
    }

    @Test
    public void should_drop_recorded_bodies_before_refusing_claims_when_the_bucket_is_full() throws StoreException {
        int granted = 0;
        ClaimDecision last = null;
        for (int call = 0; call < 200 && !(last instanceof ClaimDecision.NotClaimed); call++) {
            last = claim(committer, "key-" + call, "body");
            if (last instanceof ClaimDecision.Granted grant) {
                granted++;
                record(committer, grant.ticket());
            }
        }

        assertTrue(last instanceof ClaimDecision.NotClaimed);
        assertTrue(granted > 60, "granted " + granted);
        assertTrue(store.peek(BUCKET).orElseThrow().value().length() <= ONE_BUCKET.maxBucketCharacters());
        assertTrue(claim(committerOfOtherEntry, "key-0", "body") instanceof ClaimDecision.AlreadyAnswered);
        assertEquals(
                bucket().find(request("key-0", "body").key().hash())
                        .orElseThrow()
                        .bodyCharacters(),
                0);
    }

    @Test
    public void should_refuse_when_too_many_claims_wait() {
        for (int call = 0; call < ONE_BUCKET.maxWaiting(); call++) {
            assertTrue(committer.submit(request("key-" + call, "body")));
        }
        assertFalse(committer.submit(request("one too many", "body")));
    }

    private ClaimCommitter committer(ScriptedStoreFaults faultsOfStore, long seed) {
        return new ClaimCommitter(store.client(faultsOfStore), ONE_BUCKET, time, new Random(seed));
    }

    private ClaimRequest request(String key, String bodyDigest) {
        requests++;
        return new ClaimRequest(new RequestId(0, requests), new ClaimKey("seitkali", "studio-desk", key), bodyDigest);
    }

    private ClaimDecision claim(ClaimCommitter by, String key, String bodyDigest) {
        by.submit(request(key, bodyDigest));
        return by.commitBatch().getLast();
    }

    private void record(ClaimCommitter by, ClaimTicket ticket) {
        by.recordAnswer(ticket, BOOKED);
        time.advance(ONE_BUCKET.outcomeDelay());
        by.commitBatch();
    }

    private ClaimBucket bucket() throws StoreException {
        return ClaimCodec.read(store.peek(BUCKET).orElseThrow());
    }
}
