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
    private static final Duration TIME_LEFT = Duration.ofSeconds(5);
    private static final Duration OBJECTIVE = Duration.ofMillis(500);
    private static final BackendServer ENGINE = TestServers.engine("engine", EngineRole.WHOLE);

    // Prompts arrive at twice the rate that engines can compute. If they were accepted up to the deadline, every answer
    // would start after five seconds instead of half a second, and callers that could have been served elsewhere or
    // later would wait for nothing.
    @Test
    public void should_refuse_when_the_wait_is_several_objectives() {
        Placement.Refused refused = (Placement.Refused) QueueLimit.applyTo(placement(0.1, 2.0), request(false));

        assertEquals(refused.retryAfter(), Duration.ofSeconds(2));
    }

    @Test
    public void should_accept_when_the_wait_is_about_an_objective() {
        assertTrue(QueueLimit.applyTo(placement(0.1, 0.5), request(false)) instanceof Placement.SingleServer);
    }

    // Few callers send prompts of fifty thousand tokens. If the same queue limit applied to them as to other prompts,
    // or if they were refused for their own length, they would never be served.
    @Test
    public void should_accept_the_longest_prompt_when_the_queue_is_empty() {
        assertTrue(QueueLimit.applyTo(placement(3.0, 0), request(false)) instanceof Placement.SingleServer);
    }

    @Test
    public void should_allow_a_shorter_queue_for_a_long_prompt() {
        assertTrue(QueueLimit.applyTo(placement(0.05, 0.7), request(false)) instanceof Placement.SingleServer);
        assertTrue(QueueLimit.applyTo(placement(0.8, 0.7), request(false)) instanceof Placement.Refused);
    }

    // An engine fails in the middle of an answer while the others are busy. If the request were refused now, the caller
    // would be left with half an answer.
    @Test
    public void should_accept_any_queue_when_the_answer_has_started() {
        assertTrue(QueueLimit.applyTo(placement(0.1, 2.0), request(true)) instanceof Placement.SingleServer);
    }

    @Test
    public void should_refuse_when_the_answer_cannot_start_in_time() {
        Placement.Refused refused = (Placement.Refused) QueueLimit.applyTo(placement(5.5, 0), request(true));

        assertTrue(refused.retryAfter().compareTo(Duration.ofMillis(400)) > 0, refused.toString());
    }

    private static Placement placement(double promptSeconds, double queueSeconds) {
        return new Placement.SingleServer(
                ENGINE, Optional.empty(), promptSeconds, queueSeconds, promptSeconds + queueSeconds);
    }

    private static PlacementRequest request(boolean answerStarted) {
        Prompt prompt = new Prompt("model", 1000, 100, Optional.empty(), List.of(new PromptPart("own", 1000)));
        return new PlacementRequest(
                TestServers.MODEL_SERVICE,
                Optional.of(prompt),
                TIME_LEFT,
                OBJECTIVE,
                answerStarted,
                Set.of(),
                true,
                true,
                false,
                new VersionRequirement.Any());
    }
}
