package org.aspenmoor.internal.stream;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class AnswerAssemblyTest {
    private AnswerAssembly assembly;
    private AttemptChecksum sender;

    @BeforeMethod
    public void begin() {
        assembly = new AnswerAssembly();
        sender = new AttemptChecksum();
        assembly.beginAttempt();
    }

    @Test
    public void should_be_whole_when_count_and_checksum_hold() {
        send(1, "rain");
        send(1, "falls");

        assertEquals(assembly.complete(1, sender.count(), sender.value()), new EndVerdict.Whole());
        assertEquals(assembly.deliveredTokens(), 2);
    }

    // An agent was paused, its attempt was abandoned, and it resumes. Its chunks would be mixed into the answer of the
    // next attempt.
    @Test
    public void should_drop_what_an_attempt_that_was_given_up_still_sends() {
        send(1, "rain");
        assembly.beginAttempt();

        assertEquals(assembly.chunk(1, 1, bytes("late"), 1), new ChunkVerdict.Discard(DiscardReason.OLD_ATTEMPT));
        assertEquals(assembly.complete(1, 2, 0), new EndVerdict.Discard(DiscardReason.OLD_ATTEMPT));
        assertEquals(assembly.deliveredTokens(), 1);
    }

    // A frame is delivered twice; the caller would receive the token twice.
    @Test
    public void should_drop_a_chunk_that_was_here_before() {
        send(1, "rain");

        assertEquals(assembly.chunk(1, 0, bytes("rain"), 1), new ChunkVerdict.Discard(DiscardReason.DUPLICATE));
    }

    // A chunk is missing; the caller would receive an answer with a gap.
    @Test
    public void should_break_the_attempt_when_a_chunk_is_missing() {
        assertTrue(assembly.chunk(1, 1, bytes("falls"), 1) instanceof ChunkVerdict.Broken);
    }

    // The last chunks of an answer are lost but its last frame arrives. Without the count it would be accepted as
    // complete.
    @Test
    public void should_not_be_whole_when_chunks_before_the_end_are_missing() {
        send(1, "rain");
        sender.add(bytes("falls"));

        assertTrue(assembly.complete(1, sender.count(), sender.value()) instanceof EndVerdict.Broken);
    }

    @Test
    public void should_not_be_whole_when_the_bytes_were_changed_on_the_way() {
        assembly.chunk(1, sender.add(bytes("rain")), bytes("rein"), 1);

        assertTrue(assembly.complete(1, sender.count(), sender.value()) instanceof EndVerdict.Broken);
    }

    @Test
    public void should_go_on_counting_tokens_over_attempts() {
        send(1, "rain");
        assembly.beginAttempt();
        sender = new AttemptChecksum();
        send(2, "falls");

        assertEquals(assembly.complete(2, sender.count(), sender.value()), new EndVerdict.Whole());
        assertEquals(assembly.deliveredTokens(), 2);
    }

    private void send(int attempt, String text) {
        assembly.chunk(attempt, sender.add(bytes(text)), bytes(text), 1);
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
