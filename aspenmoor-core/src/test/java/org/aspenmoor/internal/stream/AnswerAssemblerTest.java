package org.aspenmoor.internal.stream;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class AnswerAssemblerTest {
    private AnswerAssembler assembler;
    private AttemptChecksum sender;

    @BeforeMethod
    public void begin() {
        assembler = new AnswerAssembler();
        sender = new AttemptChecksum();
        assembler.beginAttempt();
    }

    @Test
    public void should_complete_when_count_and_checksum_match() {
        send(1, "rain");
        send(1, "falls");

        assertEquals(assembler.onLastFrame(1, sender.count(), sender.value()), new EndDecision.Complete());
        assertEquals(assembler.deliveredTokens(), 2);
    }

    // An agent was paused, its attempt was abandoned, and it resumes. Its chunks would be mixed into the answer of the
    // next attempt.
    @Test
    public void should_discard_frames_when_their_attempt_was_abandoned() {
        send(1, "rain");
        assembler.beginAttempt();

        assertEquals(assembler.onChunk(1, 1, bytes("late"), 1), new ChunkDecision.Discard(DiscardReason.OLD_ATTEMPT));
        assertEquals(assembler.onLastFrame(1, 2, 0), new EndDecision.Discard(DiscardReason.OLD_ATTEMPT));
        assertEquals(assembler.deliveredTokens(), 1);
    }

    // A frame is delivered twice; the caller would receive the token twice.
    @Test
    public void should_discard_chunk_when_it_is_a_duplicate() {
        send(1, "rain");

        assertEquals(assembler.onChunk(1, 0, bytes("rain"), 1), new ChunkDecision.Discard(DiscardReason.DUPLICATE));
    }

    // A chunk is missing; the caller would receive an answer with a gap.
    @Test
    public void should_report_broken_attempt_when_a_chunk_is_missing() {
        assertTrue(assembler.onChunk(1, 1, bytes("falls"), 1) instanceof ChunkDecision.Broken);
    }

    // The last chunks of an answer are lost but its last frame arrives. Without the count it would be accepted as
    // complete.
    @Test
    public void should_report_broken_attempt_when_chunks_before_the_end_are_missing() {
        send(1, "rain");
        sender.add(bytes("falls"));

        assertTrue(assembler.onLastFrame(1, sender.count(), sender.value()) instanceof EndDecision.Broken);
    }

    @Test
    public void should_report_broken_attempt_when_bytes_were_corrupted_in_transit() {
        assembler.onChunk(1, sender.add(bytes("rain")), bytes("rein"), 1);

        assertTrue(assembler.onLastFrame(1, sender.count(), sender.value()) instanceof EndDecision.Broken);
    }

    @Test
    public void should_count_tokens_over_all_attempts_when_an_attempt_is_resumed() {
        send(1, "rain");
        assembler.beginAttempt();
        sender = new AttemptChecksum();
        send(2, "falls");

        assertEquals(assembler.onLastFrame(2, sender.count(), sender.value()), new EndDecision.Complete());
        assertEquals(assembler.deliveredTokens(), 2);
    }

    private void send(int attempt, String text) {
        assembler.onChunk(attempt, sender.add(bytes(text)), bytes(text), 1);
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
