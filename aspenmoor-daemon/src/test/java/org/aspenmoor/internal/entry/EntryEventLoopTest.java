package org.aspenmoor.internal.entry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.aspenmoor.RefusalReason;
import org.aspenmoor.internal.claim.ClaimKey;
import org.aspenmoor.internal.claim.ClaimRequest;
import org.aspenmoor.internal.claim.ClaimTicket;
import org.aspenmoor.internal.claim.ClaimVerdict;
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
    public void begin() {
        fixture = new EventLoopFixture();
    }

    @AfterMethod
    public void end() {
        fixture.close();
    }

    @Test
    public void should_give_the_caller_the_whole_answer() {
        EmbeddedLink engine = fixture.connect("drafter-1", "drafting");
        RecordingSink caller = fixture.generate(EventLoopFixture.TOKEN);
        AttemptId id = fixture.dispatchTo(engine).orElseThrow().getId();

        fixture.chunk(engine, id, "rain ");
        fixture.chunk(engine, id, "falls");
        fixture.complete(engine, id, 0);

        assertEquals(caller.text(), "rain falls");
        assertEquals(caller.end(), Optional.of("whole"));
    }

    // The engine's host loses power after two tokens. The caller goes on reading as if nothing had happened; the other
    // engine is told what was delivered, and what the dead one still sends is dropped.
    @Test
    public void should_resume_elsewhere_with_no_token_doubled_or_missing_when_a_link_is_cut() {
        EmbeddedLink first = fixture.connect("drafter-1", "drafting");
        RecordingSink caller = fixture.generate(EventLoopFixture.TOKEN);
        AttemptId lost = fixture.dispatchTo(first).orElseThrow().getId();
        EmbeddedLink second = fixture.connect("drafter-2", "drafting");
        fixture.chunk(first, lost, "rain ");
        fixture.chunk(first, lost, "falls ");

        fixture.cut(first);
        Dispatch resumed = fixture.dispatchTo(second).orElseThrow();
        fixture.chunk(second, lost, "LATE");
        fixture.chunk(second, resumed.getId(), "softly");
        fixture.complete(second, resumed.getId(), 0);

        assertEquals(resumed.getGeneration().getDeliveredTokens(), 2);
        assertEquals(resumed.getGeneration().getDeliveredText(), "rain falls ");
        assertEquals(caller.text(), "rain falls softly");
        assertEquals(caller.end(), Optional.of("whole"));
    }

    // An engine dies in the middle of a rollout. Continued under the new version, the draft would go on in the words of
    // another model from one sentence to the next.
    @Test
    public void should_continue_a_stream_only_under_the_version_it_began_with() {
        EmbeddedLink first = fixture.connect("drafter-1", "drafting", "drafter@1");
        fixture.generate(EventLoopFixture.TOKEN);
        AttemptId lost = fixture.dispatchTo(first).orElseThrow().getId();
        fixture.chunk(first, lost, "rain ");
        EmbeddedLink newVersion = fixture.connect("drafter-2", "drafting", "drafter@2");
        fixture.cut(first);
        assertTrue(fixture.dispatchTo(newVersion).isEmpty());

        EmbeddedLink oldVersion = fixture.connect("drafter-3", "drafting", "drafter@1");

        assertTrue(fixture.dispatchTo(oldVersion).isPresent());
    }

    // A chunk is lost or damaged between two processes. The last frame's checksum shows it before the caller is told
    // that
    // the answer is whole.
    @Test
    public void should_not_call_an_answer_whole_when_its_checksum_does_not_hold() {
        EmbeddedLink first = fixture.connect("drafter-1", "drafting");
        RecordingSink caller = fixture.generate(EventLoopFixture.TOKEN);
        AttemptId id = fixture.dispatchTo(first).orElseThrow().getId();
        fixture.chunk(first, id, "rain");

        fixture.complete(first, id, 1);

        assertTrue(caller.end().isEmpty());
        assertEquals(fixture.dispatchTo(first).orElseThrow().getId().getAttempt(), 2);
    }

    // The link breaks after a booking was sent. It may have been made; sending it again could pay a narrator twice.
    @Test
    public void should_never_send_a_non_idempotent_call_again_when_its_answer_was_lost() {
        EmbeddedLink first = fixture.connect("desk-1", "desk");
        EmbeddedLink second = fixture.connect("desk-2", "desk");
        RecordingSink caller = fixture.book(Optional.empty());
        EmbeddedLink used = first.takeSent().stream().anyMatch(Frame::hasDispatch) ? first : second;
        second.takeSent();

        fixture.cut(used);

        assertEquals(caller.end(), Optional.of("unknown"));
        assertTrue(fixture.dispatchTo(first).isEmpty());
        assertTrue(fixture.dispatchTo(second).isEmpty());
    }

    // The agent states that it never started the call, because its service takes no connection.
    @Test
    public void should_send_a_non_idempotent_call_elsewhere_when_it_never_started() {
        EmbeddedLink first = fixture.connect("desk-1", "desk");
        RecordingSink caller = fixture.book(Optional.empty());
        AttemptId refused = fixture.dispatchTo(first).orElseThrow().getId();
        EmbeddedLink second = fixture.connect("desk-2", "desk");

        fixture.refuse(first, refused);
        AttemptId id = fixture.dispatchTo(second).orElseThrow().getId();
        fixture.started(second, id, 201);
        fixture.complete(second, id, 0);

        assertEquals(caller.end(), Optional.of("status 201"));
    }

    // Two entries are asked to make the same booking. Before the store has granted the key, nothing may be sent.
    @Test
    public void should_send_a_keyed_call_only_after_its_claim_was_granted() {
        EmbeddedLink studioDesk = fixture.connect("desk-1", "desk");
        fixture.book(Optional.of("key-1"));
        assertTrue(fixture.dispatchTo(studioDesk).isEmpty());

        fixture.eventLoop().handle(new EntryMessage.ClaimJudged(new ClaimVerdict.Granted(claim(), ticket())));

        assertTrue(fixture.dispatchTo(studioDesk).isPresent());
    }

    // The store is down. Whether the key was used before cannot be known, so the call is refused at once and truly.
    @Test
    public void should_refuse_a_keyed_call_as_not_run_when_the_store_is_down() {
        EmbeddedLink studioDesk = fixture.connect("desk-1", "desk");
        RecordingSink caller = fixture.book(Optional.of("key-1"));

        fixture.eventLoop()
                .handle(new EntryMessage.ClaimJudged(
                        new ClaimVerdict.NotClaimed(claim(), Duration.ofSeconds(2), "The store does not answer.")));

        assertEquals(caller.refusal().orElseThrow().reason(), RefusalReason.STORE_UNAVAILABLE);
        assertEquals(caller.refusal().orElseThrow().comeBackAfter(), Duration.ofSeconds(2));
        assertTrue(fixture.dispatchTo(studioDesk).isEmpty());
    }

    // Another team's token is used, by mistake or not. It must neither reach the engines nor learn that they exist.
    @Test
    public void should_show_nothing_of_a_service_to_a_token_that_does_not_open_it() {
        EmbeddedLink engine = fixture.connect("drafter-1", "drafting");

        RecordingSink caller = fixture.generate("sheet-house-token");

        assertEquals(caller.refusal().orElseThrow().reason(), RefusalReason.NOT_AUTHORISED);
        assertFalse(caller.refusal().orElseThrow().detail().contains("drafter"));
        assertTrue(fixture.dispatchTo(engine).isEmpty());
    }

    // The caller's connection is full. Credit goes back only for what it has taken, which holds the engine back.
    @Test
    public void should_return_credit_only_for_what_the_caller_has_taken() {
        EmbeddedLink engine = fixture.connect("drafter-1", "drafting");
        RecordingSink caller = fixture.generate(EventLoopFixture.TOKEN);
        AttemptId id = fixture.dispatchTo(engine).orElseThrow().getId();
        caller.stopReading();
        fixture.chunk(engine, id, "rain ");
        fixture.chunk(engine, id, "falls");
        assertEquals(creditIn(engine), 0);

        caller.readAll();
        fixture.eventLoop().handle(new EntryMessage.CallerTook(fixture.lastId()));

        assertEquals(creditIn(engine), 2);
    }

    @Test
    public void should_cancel_at_the_agent_when_the_caller_goes_away() {
        EmbeddedLink engine = fixture.connect("drafter-1", "drafting");
        fixture.generate(EventLoopFixture.TOKEN);
        engine.takeSent();

        fixture.eventLoop().handle(new EntryMessage.CallerGone(fixture.lastId()));

        assertTrue(engine.takeSent().getLast().hasCancel());
    }

    // A host is to be replaced and its agent says so. New requests must go elsewhere at once.
    @Test
    public void should_send_nothing_new_to_a_backend_server_that_said_it_leaves() {
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

    // An agent is paused by its host. Its connection stays open and silent; without probes the request would wait for
    // the caller's own time-out.
    @Test
    public void should_move_a_request_when_its_agent_falls_silent() {
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
    public void should_finish_what_it_holds_and_refuse_the_rest_when_stopping() {
        EmbeddedLink engine = fixture.connect("drafter-1", "drafting");
        RecordingSink held = fixture.generate(EventLoopFixture.TOKEN);
        AttemptId id = fixture.dispatchTo(engine).orElseThrow().getId();
        CompletableFuture<Void> drained = new CompletableFuture<>();
        fixture.eventLoop().handle(new EntryMessage.DrainAsked(drained));

        RecordingSink late = fixture.generate(EventLoopFixture.TOKEN);
        assertFalse(drained.isDone());
        fixture.complete(engine, id, 0);

        assertEquals(late.refusal().orElseThrow().reason(), RefusalReason.STOPPING);
        assertEquals(held.end(), Optional.of("whole"));
        assertTrue(drained.isDone());
    }

    private int creditIn(EmbeddedLink link) {
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
