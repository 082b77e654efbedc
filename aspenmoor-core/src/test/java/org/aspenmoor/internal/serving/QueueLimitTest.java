package org.aspenmoor.internal.serving;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.aspenmoor.internal.engine.EngineRole;
import org.testng.annotations.Test;

public class QueueLimitTest {
    private static final Duration PATIENCE = Duration.ofSeconds(5);
    private static final Duration OBJECTIVE = Duration.ofMillis(500);
    private static final BackendServer ENGINE = TestServers.engine("engine", EngineRole.WHOLE);

    // Twice as many prompts come as engines compute. Taken until the deadline, every answer begins after five seconds
    // instead of half of one, and callers who could have been served elsewhere or later wait for nothing.
    @Test
    public void should_refuse_at_once_what_would_wait_for_several_objectives() {
        Placement.Refused refused = (Placement.Refused) QueueLimit.applyTo(placed(0.1, 2.0), request(false));

        assertEquals(refused.retryAfter(), Duration.ofSeconds(2));
    }

    @Test
    public void should_take_what_waits_for_about_an_objective() {
        assertTrue(QueueLimit.applyTo(placed(0.1, 0.5), request(false)) instanceof Placement.SingleServer);
    }

    // Few callers bring prompts of fifty thousand tokens. Measured by the same queue as the others, or refused for
    // their
    // own length, they would never be served.
    @Test
    public void should_take_the_longest_prompt_where_nothing_waits() {
        assertTrue(QueueLimit.applyTo(placed(3.0, 0), request(false)) instanceof Placement.SingleServer);
    }

    @Test
    public void should_let_a_long_prompt_queue_less_than_a_short_one() {
        assertTrue(QueueLimit.applyTo(placed(0.05, 0.7), request(false)) instanceof Placement.SingleServer);
        assertTrue(QueueLimit.applyTo(placed(0.8, 0.7), request(false)) instanceof Placement.Refused);
    }

    // An engine is lost in the middle of a draft while the others are busy. Refused now, the caller is left with half a
    // draft.
    @Test
    public void should_go_on_with_an_answer_that_has_begun_whatever_waits() {
        assertTrue(QueueLimit.applyTo(placed(0.1, 2.0), request(true)) instanceof Placement.SingleServer);
    }

    @Test
    public void should_refuse_what_cannot_begin_in_time() {
        Placement.Refused refused = (Placement.Refused) QueueLimit.applyTo(placed(5.5, 0), request(true));

        assertTrue(refused.retryAfter().compareTo(Duration.ofMillis(400)) > 0, refused.toString());
    }

    private static Placement placed(double promptSeconds, double queueSeconds) {
        return new Placement.SingleServer(ENGINE, Optional.empty(), promptSeconds, queueSeconds, promptSeconds + queueSeconds);
    }

    private static PlacementRequest request(boolean answerBegun) {
        Prompt prompt = new Prompt("model", 1000, 100, Optional.empty(), List.of(new PromptPart("own", 1000)));
        return new PlacementRequest(
                TestServers.MODEL_SERVICE,
                Optional.of(prompt),
                PATIENCE,
                OBJECTIVE,
                answerBegun,
                Set.of(),
                true,
                true,
                false);
    }
}
