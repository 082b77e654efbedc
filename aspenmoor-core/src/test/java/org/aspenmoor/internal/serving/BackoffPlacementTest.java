package org.aspenmoor.internal.serving;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.aspenmoor.internal.engine.EngineRole;
import org.aspenmoor.internal.routing.EngineSpeed;
import org.aspenmoor.internal.serving.entries.KnownEntries;
import org.aspenmoor.internal.serving.limit.ServerLimits;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class BackoffPlacementTest {
    private static final long SECOND = Duration.ofSeconds(1).toNanos();
    private static final Duration OBJECTIVE = Duration.ofMillis(500);
    private static final Prompt PROMPT =
            new Prompt("m", 4000, 10, Optional.empty(), List.of(new PromptPart("own", 4000)));

    private PlacementPolicy policy;

    @BeforeMethod
    public void createPolicy() {
        policy = new PlacementPolicy(
                new PlacementSettings(TestServers.DATA_CENTRE, EngineSpeed.defaults(), 0.42, 0),
                new PeerLoads(),
                new ServerLimits(new KnownEntries("one"), new Random(1)),
                new Random(1));
        policy.serverChanged(TestServers.engine("prompts", EngineRole.PREFILL), TestServers.CACHE_TOKENS);
        policy.serverChanged(TestServers.engine("answers", EngineRole.DECODE), TestServers.CACHE_TOKENS);
    }

    // Guards against a prompt that is computed although no engine will take its answer.
    @Test
    public void should_refuse_a_prompt_at_once_when_all_engines_for_answers_want_a_pause() {
        policy.backoffs().requested("answers", Duration.ofSeconds(3), 0);
        policy.backoffs().requested("prompts", Duration.ofSeconds(1), 0);

        Placement.Refused refused = (Placement.Refused) policy.choose(request(), SECOND);

        assertTrue(refused.reason().contains("want no requests from this entry"), refused.reason());
        assertTrue(refused.retryAfter().compareTo(Duration.ofSeconds(2)) >= 0, "retry after " + refused.retryAfter());
    }

    // Guards against callers who are refused while an engine takes requests again, one by one.
    @Test
    public void should_queue_a_prompt_when_an_engine_returns_step_by_step_and_is_busy() {
        policy.backoffs().requested("answers", Duration.ofSeconds(1), 0);
        long returned = 2 * SECOND;
        policy.attemptStarted(
                TestServers.engine("answers", EngineRole.DECODE), WorkKind.WHOLE, 0.1, OBJECTIVE, returned);

        assertTrue(policy.choose(request(), returned) instanceof Placement.Queued);
    }

    // Guards against an answer to a computed prompt that is asked of an engine that wants a pause.
    @Test
    public void should_choose_no_engine_for_an_answer_while_it_wants_a_pause() {
        BackendServer prompts = TestServers.engine("prompts", EngineRole.PREFILL);
        assertEquals(policy.chooseDecodeEngine(request(), prompts, 0).map(BackendServer::id), Optional.of("answers"));

        policy.backoffs().requested("answers", Duration.ofSeconds(3), 0);

        assertEquals(policy.chooseDecodeEngine(request(), prompts, SECOND), Optional.empty());
        assertTrue(policy.retryDelay(request(), SECOND).compareTo(Duration.ofSeconds(2)) >= 0);
    }

    // Guards against a computed prompt that is given up because the engines that return step by step have a request
    // each.
    @Test
    public void should_ask_a_busy_engine_that_returns_step_by_step_for_the_answer_to_a_computed_prompt() {
        BackendServer answers = TestServers.engine("answers", EngineRole.DECODE);
        policy.backoffs().requested("answers", Duration.ofSeconds(1), 0);
        long returned = 2 * SECOND;
        policy.attemptStarted(answers, WorkKind.HANDOFF, 0, OBJECTIVE, returned);

        Optional<BackendServer> chosen =
                policy.chooseDecodeEngine(request(), TestServers.engine("prompts", EngineRole.PREFILL), returned);

        assertEquals(chosen.map(BackendServer::id), Optional.of("answers"));
    }

    // Guards against a pause that is forgotten when a registration lapses and returns, and one that outlives its
    // server.
    @Test
    public void should_keep_the_pause_of_an_incarnation_that_registers_again_and_not_of_the_next_one() {
        BackendServer server = TestServers.engine("answers", EngineRole.DECODE);
        policy.backoffs().requested("answers", Duration.ofSeconds(3), 0);

        policy.serverRemoved("answers");
        policy.serverChanged(server, TestServers.CACHE_TOKENS);
        assertTrue(policy.backoffs().remaining("answers", SECOND).isPositive());

        policy.serverChanged(TestServers.nextIncarnation(server), TestServers.CACHE_TOKENS);
        assertEquals(policy.backoffs().remaining("answers", SECOND), Duration.ZERO);
    }

    private static PlacementRequest request() {
        return new PlacementRequest(
                TestServers.MODEL_SERVICE,
                Optional.of(PROMPT),
                Duration.ofSeconds(5),
                OBJECTIVE,
                false,
                Set.of(),
                true,
                true,
                false,
                new VersionRequirement.Any());
    }
}
