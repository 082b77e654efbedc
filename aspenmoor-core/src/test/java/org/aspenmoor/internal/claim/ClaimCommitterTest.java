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
    public void should_grant_a_new_key_once_and_give_its_outcome_to_repeats() {
        ClaimVerdict.Granted granted = (ClaimVerdict.Granted) claim(committer, "booth-4", "body");
        assertTrue(claim(committer, "booth-4", "body") instanceof ClaimVerdict.StillUnknown);

        record(committer, granted.ticket());

        ClaimVerdict repeat = claim(committerOfOtherEntry, "booth-4", "body");
        assertEquals(((ClaimVerdict.AlreadyAnswered) repeat).answer(), BOOKED);
    }

    // A caller's library reuses a key for another booking. Answered with the first booking's outcome, the second would
    // seem to be booked and is not.
    @Test
    public void should_refuse_another_body_under_the_same_key() {
        claim(committer, "booth-4", "body");

        assertTrue(claim(committerOfOtherEntry, "booth-4", "other body") instanceof ClaimVerdict.KeyReused);
    }

    // A caller in a hurry sends its booking to two entries at the same moment. Both write; exactly one may dispatch.
    @Test
    public void should_grant_a_key_at_one_of_two_entries_only() {
        List<ClaimVerdict> ofOther = new ArrayList<>();
        faults.beforeNextEffect(() -> ofOther.add(claim(committerOfOtherEntry, "booth-4", "body")));

        ClaimVerdict verdict = claim(committer, "booth-4", "body");

        assertTrue(ofOther.getFirst() instanceof ClaimVerdict.Granted);
        assertTrue(verdict instanceof ClaimVerdict.StillUnknown);
    }

    // The store takes the claim and loses the answer. Taken for somebody else's, the call would be unknown for ever
    // although it never ran; taken for a failure, it would be claimed twice.
    @Test
    public void should_recognise_its_own_claim_after_a_lost_answer() {
        faults.addWriteFault(StoreFault.ANSWER_LOST);

        assertTrue(claim(committer, "booth-4", "body") instanceof ClaimVerdict.Granted);
        assertTrue(claim(committerOfOtherEntry, "booth-4", "body") instanceof ClaimVerdict.StillUnknown);
    }

    // A claim's write is held up and lands while it is tried again. One of the two takes effect, and the call is
    // granted
    // once.
    @Test
    public void should_grant_once_when_a_held_up_claim_lands_during_the_next_try() {
        faults.addWriteFault(StoreFault.LANDS_LATE);
        faults.beforeNextEffect(() -> faults.beforeNextEffect(store::deliverDelayed));

        assertTrue(claim(committer, "booth-4", "body") instanceof ClaimVerdict.Granted);
        assertTrue(claim(committer, "booth-4", "body") instanceof ClaimVerdict.StillUnknown);
    }

    // The store is out. A booking cannot be claimed, so it is refused at once and has certainly not run.
    @Test
    public void should_refuse_as_not_run_while_the_store_is_out() {
        faults.addReadFault(StoreFault.UNAVAILABLE);

        ClaimVerdict verdict = claim(committer, "booth-4", "body");

        Duration comeBackAfter = ((ClaimVerdict.NotClaimed) verdict).comeBackAfter();
        assertTrue(comeBackAfter.compareTo(Duration.ofSeconds(2)) >= 0);
        assertTrue(comeBackAfter.compareTo(Duration.ofSeconds(4)) <= 0);
        assertTrue(claim(committer, "booth-4", "body") instanceof ClaimVerdict.Granted);
    }

    // The store goes out between a claim that took effect and the read that would have shown it. The caller is told
    // "not run"; when the store is back, the key must not be taken by a call that never ran.
    @Test
    public void should_free_a_key_that_it_gave_up() {
        claim(committer, "first", "body");
        faults.addWriteFault(StoreFault.ANSWER_LOST);
        faults.addReadFault(StoreFault.UNAVAILABLE);
        assertTrue(claim(committer, "booth-4", "body") instanceof ClaimVerdict.NotClaimed);

        assertTrue(claim(committer, "booth-4", "body") instanceof ClaimVerdict.Granted);
    }

    // The entry is killed after the claim, before or after the dispatch or before the outcome is recorded. Nobody knows
    // whether the booking ran; every repeat is told so until the claim's life ends, and none runs it.
    @Test
    public void should_stay_unknown_when_the_claimer_is_gone() {
        claim(committer, "booth-4", "body");

        for (int hour = 0; hour < 23; hour++) {
            time.advance(Duration.ofHours(1));
            ClaimCommitter restarted = committer(new ScriptedStoreFaults(), 10 + hour);
            assertTrue(claim(restarted, "booth-4", "body") instanceof ClaimVerdict.StillUnknown);
        }
    }

    @Test
    public void should_forget_a_claim_after_its_life() throws StoreException {
        claim(committer, "booth-4", "body");
        time.advance(Duration.ofHours(24).plusSeconds(1));

        claim(committer, "booth-5", "body");

        assertEquals(bucket().entries().size(), 1);
    }

    // An agent states that a claimed call never started. The caller is told "not run" and may repeat it under its key.
    @Test
    public void should_free_the_key_of_a_call_that_never_started() {
        ClaimVerdict.Granted granted = (ClaimVerdict.Granted) claim(committer, "booth-4", "body");

        committer.neverStarted(granted.ticket());

        assertTrue(claim(committer, "booth-4", "body") instanceof ClaimVerdict.Granted);
    }

    // The store is out when the outcome is to be recorded. It waits and is recorded later; a repeat meanwhile is told
    // that nobody knows.
    @Test
    public void should_record_an_outcome_after_an_outage() {
        ClaimVerdict.Granted granted = (ClaimVerdict.Granted) claim(committer, "booth-4", "body");
        faults.addWriteFault(StoreFault.UNAVAILABLE);
        record(committer, granted.ticket());
        assertTrue(claim(committerOfOtherEntry, "booth-4", "body") instanceof ClaimVerdict.StillUnknown);

        time.advance(ONE_BUCKET.outcomeDelay());
        committer.commitBatch();

        assertTrue(claim(committerOfOtherEntry, "booth-4", "body") instanceof ClaimVerdict.AlreadyAnswered);
    }

    @Test
    public void should_write_once_for_all_claims_that_wait() {
        for (int call = 0; call < 200; call++) {
            committer.submit(request("key-" + call, "body"));
        }

        assertEquals(committer.commitBatch().size(), 200);

        assertEquals(store.writes(), 1);
        assertEquals(store.reads(), 1);
    }

    @Test
    public void should_share_the_write_of_an_outcome_with_the_next_claim() {
        ClaimVerdict.Granted granted = (ClaimVerdict.Granted) claim(committer, "key-1", "body");
        committer.answered(granted.ticket(), BOOKED);
        assertFalse(committer.hasDueWork());

        claim(committer, "key-2", "body");

        assertEquals(store.writes(), 2);
        assertTrue(claim(committerOfOtherEntry, "key-1", "body") instanceof ClaimVerdict.AlreadyAnswered);
    }

    @Test
    public void should_give_up_bodies_before_it_refuses_claims() throws StoreException {
        int granted = 0;
        ClaimVerdict last = null;
        for (int call = 0; call < 200 && !(last instanceof ClaimVerdict.NotClaimed); call++) {
            last = claim(committer, "key-" + call, "body");
            if (last instanceof ClaimVerdict.Granted grant) {
                granted++;
                record(committer, grant.ticket());
            }
        }

        assertTrue(last instanceof ClaimVerdict.NotClaimed);
        assertTrue(granted > 60, "granted " + granted);
        assertTrue(store.peek(BUCKET).orElseThrow().value().length() <= ONE_BUCKET.mostBucketCharacters());
        assertTrue(claim(committerOfOtherEntry, "key-0", "body") instanceof ClaimVerdict.AlreadyAnswered);
        assertEquals(
                bucket().find(request("key-0", "body").key().hash())
                        .orElseThrow()
                        .bodyCharacters(),
                0);
    }

    @Test
    public void should_refuse_when_too_many_wait() {
        for (int call = 0; call < ONE_BUCKET.mostWaiting(); call++) {
            assertTrue(committer.submit(request("key-" + call, "body")));
        }
        assertFalse(committer.submit(request("one too many", "body")));
    }

    private ClaimCommitter committer(ScriptedStoreFaults ofDesk, long seed) {
        return new ClaimCommitter(store.client(ofDesk), ONE_BUCKET, time, new Random(seed));
    }

    private ClaimRequest request(String key, String bodyDigest) {
        requests++;
        return new ClaimRequest(new RequestId(0, requests), new ClaimKey("seitkali", "studio-desk", key), bodyDigest);
    }

    private ClaimVerdict claim(ClaimCommitter at, String key, String bodyDigest) {
        at.submit(request(key, bodyDigest));
        return at.commitBatch().getLast();
    }

    private void record(ClaimCommitter at, ClaimTicket ticket) {
        at.answered(ticket, BOOKED);
        time.advance(ONE_BUCKET.outcomeDelay());
        at.commitBatch();
    }

    private ClaimBucket bucket() throws StoreException {
        return ClaimCodec.read(store.peek(BUCKET).orElseThrow());
    }
}
