package org.aspenmoor.internal.entry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.aspenmoor.RefusalReason;
import org.aspenmoor.internal.claim.ClaimDecision;
import org.aspenmoor.internal.claim.ClaimKey;
import org.aspenmoor.internal.claim.ClaimRequest;
import org.aspenmoor.internal.claim.ClaimTicket;
import org.aspenmoor.internal.link.EmbeddedLink;
import org.aspenmoor.internal.wire.v1.AttemptId;
import org.aspenmoor.internal.wire.v1.Dispatch;
import org.aspenmoor.internal.wire.v1.Frame;
import org.aspenmoor.internal.wire.v1.Leaving;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class EntryEventLoopTest {
    private EventLoopFixture fixture;

    @BeforeMethod
    public void createFixture() {
        fixture = new EventLoopFixture();
    }

    @AfterMethod
    public void closeFixture() {
        fixture.close();
    }

    @Test
    public void should_deliver_the_complete_answer_to_the_caller() {
        EmbeddedLink engine = fixture.connect("drafter-1", "drafting");
        RecordingSink caller = fixture.generate(EventLoopFixture.TOKEN);
        AttemptId id = fixture.dispatchTo(engine).orElseThrow().getId();

        fixture.chunk(engine, id, "rain ");
        fixture.chunk(engine, id, "falls");
        fixture.complete(engine, id, 0);

        assertEquals(caller.text(), "rain falls");
        assertEquals(caller.end(), Optional.of("complete"));
    }

    // An engine's host fails after two tokens. The caller's stream continues unchanged: the other engine receives what
    // was delivered, and late frames of the failed engine are discarded.
    @Test
    public void should_resume_at_another_engine_without_duplicate_or_missing_tokens_when_a_link_closes() {
        EmbeddedLink first = fixture.connect("drafter-1", "drafting");
        RecordingSink caller = fixture.generate(EventLoopFixture.TOKEN);
        AttemptId lost = fixture.dispatchTo(first).orElseThrow().getId();
        EmbeddedLink second = fixture.connect("drafter-2", "drafting");
        fixture.chunk(first, lost, "rain ");
        fixture.chunk(first, lost, "falls ");

        fixture.closeLink(first);
        Dispatch resumed = fixture.dispatchTo(second).orElseThrow();
        fixture.chunk(second, lost, "LATE");
        fixture.chunk(second, resumed.getId(), "softly");
        fixture.complete(second, resumed.getId(), 0);

        assertEquals(resumed.getGeneration().getDeliveredTokens(), 2);
        assertEquals(resumed.getGeneration().getDeliveredText(), "rain falls ");
        assertEquals(caller.text(), "rain falls softly");
        assertEquals(caller.end(), Optional.of("complete"));
    }

    // An engine fails during a rollout. Resumed under the new version, the text would be continued by a different
    // model.
    @Test
    public void should_resume_a_stream_only_with_the_model_version_it_started_with() {
        EmbeddedLink first = fixture.connect("drafter-1", "drafting", "drafter@1");
        fixture.generate(EventLoopFixture.TOKEN);
        AttemptId lost = fixture.dispatchTo(first).orElseThrow().getId();
        fixture.chunk(first, lost, "rain ");
        EmbeddedLink newVersion = fixture.connect("drafter-2", "drafting", "drafter@2");
        fixture.closeLink(first);
        assertTrue(fixture.dispatchTo(newVersion).isEmpty());

        EmbeddedLink oldVersion = fixture.connect("drafter-3", "drafting", "drafter@1");

        assertTrue(fixture.dispatchTo(oldVersion).isPresent());
    }

    // A chunk is lost or corrupted between two processes. The checksum in the last frame reveals it before the answer
    // is reported as complete.
    @Test
    public void should_not_report_an_answer_as_complete_when_its_checksum_differs() {
        EmbeddedLink first = fixture.connect("drafter-1", "drafting");
        RecordingSink caller = fixture.generate(EventLoopFixture.TOKEN);
        AttemptId id = fixture.dispatchTo(first).orElseThrow().getId();
        fixture.chunk(first, id, "rain");

        fixture.complete(first, id, 1);

        assertTrue(caller.end().isEmpty());
        assertEquals(fixture.dispatchTo(first).orElseThrow().getId().getAttempt(), 2);
    }

    // The link closes after a booking was sent. The booking may have been made, and a retry could make it twice.
    @Test
    public void should_not_retry_a_non_idempotent_call_when_its_answer_was_lost() {
        EmbeddedLink first = fixture.connect("desk-1", "desk");
        EmbeddedLink second = fixture.connect("desk-2", "desk");
        RecordingSink caller = fixture.requestBooking(Optional.empty());
        EmbeddedLink used = first.takeSent().stream().anyMatch(Frame::hasDispatch) ? first : second;
        second.takeSent();

        fixture.closeLink(used);

        assertEquals(caller.end(), Optional.of("unknown"));
        assertTrue(fixture.dispatchTo(first).isEmpty());
        assertTrue(fixture.dispatchTo(second).isEmpty());
    }

    // The agent reports that it never started the call, because its service refuses connections.
    @Test
    public void should_retry_a_non_idempotent_call_at_another_server_when_it_never_started() {
        EmbeddedLink first = fixture.connect("desk-1", "desk");
        RecordingSink caller = fixture.requestBooking(Optional.empty());
        AttemptId refused = fixture.dispatchTo(first).orElseThrow().getId();
        EmbeddedLink second = fixture.connect("desk-2", "desk");

        fixture.refuse(first, refused);
        AttemptId id = fixture.dispatchTo(second).orElseThrow().getId();
        fixture.started(second, id, 201);
        fixture.complete(second, id, 0);

        assertEquals(caller.end(), Optional.of("status 201"));
    }

    // Two entries receive the same booking. Nothing may be dispatched before the store has granted the claim for the
    // key.
    @Test
    public void should_dispatch_a_call_with_a_key_only_after_its_claim_was_granted() {
        EmbeddedLink studioDesk = fixture.connect("desk-1", "desk");
        fixture.requestBooking(Optional.of("key-1"));
        assertTrue(fixture.dispatchTo(studioDesk).isEmpty());

        fixture.eventLoop().handle(new EntryMessage.ClaimJudged(new ClaimDecision.Granted(claim(), ticket())));

        assertTrue(fixture.dispatchTo(studioDesk).isPresent());
    }

    // While the store is unavailable, it is unknown whether the key was used before, so the call is refused at once as
    // not run.
    @Test
    public void should_refuse_a_call_with_a_key_as_not_run_when_the_store_is_unavailable() {
        EmbeddedLink studioDesk = fixture.connect("desk-1", "desk");
        RecordingSink caller = fixture.requestBooking(Optional.of("key-1"));

        fixture.eventLoop()
                .handle(new EntryMessage.ClaimJudged(
                        new ClaimDecision.NotClaimed(claim(), Duration.ofSeconds(2), "The store does not answer.")));

        assertEquals(caller.refusal().orElseThrow().reason(), RefusalReason.STORE_UNAVAILABLE);
        assertEquals(caller.refusal().orElseThrow().comeBackAfter(), Duration.ofSeconds(2));
        assertTrue(fixture.dispatchTo(studioDesk).isEmpty());
    }

    // A request with another team's token must neither reach the engines nor reveal that they exist.
    @Test
    public void should_reveal_nothing_about_a_service_when_the_token_is_not_authorised() {
        EmbeddedLink engine = fixture.connect("drafter-1", "drafting");

        RecordingSink caller = fixture.generate("sheet-house-token");

        assertEquals(caller.refusal().orElseThrow().reason(), RefusalReason.NOT_AUTHORISED);
        assertFalse(caller.refusal().orElseThrow().detail().contains("drafter"));
        assertTrue(fixture.dispatchTo(engine).isEmpty());
    }

    // The caller's connection is full. Credit is returned only for what the caller has consumed, which slows the engine
    // down.
    @Test
    public void should_return_credit_only_for_what_the_caller_has_consumed() {
        EmbeddedLink engine = fixture.connect("drafter-1", "drafting");
        RecordingSink caller = fixture.generate(EventLoopFixture.TOKEN);
        AttemptId id = fixture.dispatchTo(engine).orElseThrow().getId();
        caller.stopReading();
        fixture.chunk(engine, id, "rain ");
        fixture.chunk(engine, id, "falls");
        assertEquals(creditSentOn(engine), 0);

        caller.resumeReading();
        fixture.eventLoop().handle(new EntryMessage.CallerTook(fixture.lastId()));

        assertEquals(creditSentOn(engine), 2);
    }

    @Test
    public void should_cancel_at_the_agent_when_the_caller_disconnects() {
        EmbeddedLink engine = fixture.connect("drafter-1", "drafting");
        fixture.generate(EventLoopFixture.TOKEN);
        engine.takeSent();

        fixture.eventLoop().handle(new EntryMessage.CallerGone(fixture.lastId()));

        assertTrue(engine.takeSent().getLast().hasCancel());
    }

    // An agent reports that its host will be replaced. New requests must be sent to other servers at once.
    @Test
    public void should_send_no_new_request_to_a_backend_server_that_reported_leaving() {
        EmbeddedLink leaving = fixture.connect("drafter-1", "drafting");
        EmbeddedLink staying = fixture.connect("drafter-2", "drafting");
        fixture.receive(
                leaving,
                Frame.newBuilder()
                        .setLeaving(Leaving.newBuilder().setBackend("drafter-1"))
                        .build());

        for (int request = 0; request < 6; request++) {
            fixture.generate(EventLoopFixture.TOKEN);
        }

        assertTrue(fixture.dispatchTo(leaving).isEmpty());
        assertTrue(fixture.dispatchTo(staying).isPresent());
    }

    // An agent is paused by its host. Its connection stays open without traffic; without probes the request would wait
    // until the time-out of the caller.
    @Test
    public void should_retry_a_request_at_another_server_when_its_agent_stops_responding() {
        EmbeddedLink paused = fixture.connect("drafter-1", "drafting");
        RecordingSink caller = fixture.generate(EventLoopFixture.TOKEN);
        assertTrue(fixture.dispatchTo(paused).isPresent());

        fixture.time().advance(Duration.ofSeconds(6));
        EmbeddedLink other = fixture.connect("drafter-2", "drafting");
        fixture.eventLoop().handle(new EntryMessage.Tick());
        AttemptId id = fixture.dispatchTo(other).orElseThrow().getId();
        fixture.chunk(other, id, "rain");
        fixture.complete(other, id, 0);

        assertEquals(caller.text(), "rain");
    }

    @Test
    public void should_finish_active_requests_and_refuse_new_ones_when_draining() {
        EmbeddedLink engine = fixture.connect("drafter-1", "drafting");
        RecordingSink held = fixture.generate(EventLoopFixture.TOKEN);
        AttemptId id = fixture.dispatchTo(engine).orElseThrow().getId();
        CompletableFuture<Void> drained = new CompletableFuture<>();
        fixture.eventLoop().handle(new EntryMessage.DrainAsked(drained));

        RecordingSink late = fixture.generate(EventLoopFixture.TOKEN);
        assertFalse(drained.isDone());
        fixture.complete(engine, id, 0);

        assertEquals(late.refusal().orElseThrow().reason(), RefusalReason.STOPPING);
        assertEquals(held.end(), Optional.of("complete"));
        assertTrue(drained.isDone());
    }

    private int creditSentOn(EmbeddedLink link) {
        List<Frame> frames = link.takeSent();
        return frames.stream()
                .filter(Frame::hasCredit)
                .mapToInt(frame -> frame.getCredit().getChunks())
                .sum();
    }

    private ClaimRequest claim() {
        return new ClaimRequest(fixture.lastId(), key(), "digest");
    }

    private static ClaimTicket ticket() {
        return new ClaimTicket(key(), "nonce");
    }

    private static ClaimKey key() {
        return new ClaimKey("studio", "desk", "key-1");
    }
}
