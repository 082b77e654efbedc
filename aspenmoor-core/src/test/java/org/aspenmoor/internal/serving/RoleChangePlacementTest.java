package org.aspenmoor.internal.serving;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.aspenmoor.internal.engine.EngineRole;
import org.aspenmoor.internal.routing.EngineSpeed;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public final class RoleChangePlacementTest {
    private static final long SECOND = 1_000_000_000L;
    private static final Duration OBJECTIVE = Duration.ofMillis(500);
    private static final EngineSpeed SPEED =
            new EngineSpeed(112_000, 0.003_41, 0.000_097, 0.25, 2048, 0.008, 2_300_000);

    private PlacementPolicy placer;

    @BeforeMethod
    public void start() {
        placer = new PlacementPolicy(new PlacementSettings("here", SPEED, 0.42, 0), new PeerLoads(), new Random(1));
        placer.serverChanged(TestServers.engine("prefill", EngineRole.PREFILL), TestServers.CACHE_TOKENS);
        placer.serverChanged(TestServers.engine("leaving", EngineRole.DECODE), TestServers.CACHE_TOKENS);
        placer.serverChanged(TestServers.engine("staying", EngineRole.DECODE), TestServers.CACHE_TOKENS);
    }

    // Guards against requests that an engine rejects for seconds because it is changing its role.
    @Test
    public void should_place_nothing_at_an_engine_that_changes_its_role() {
        placer.roleChangeOrdered(new RoleChange("leaving", EngineRole.PREFILL), SECOND);

        for (int choice = 0; choice < 20; choice++) {
            assertEquals(answering(SECOND), "staying");
        }
    }

    @Test
    public void should_use_an_engine_again_that_has_changed_its_role() {
        placer.roleChangeOrdered(new RoleChange("leaving", EngineRole.PREFILL), SECOND);
        placer.serverChanged(TestServers.engine("leaving", EngineRole.PREFILL), TestServers.CACHE_TOKENS);

        assertFalse(placer.changingRole("leaving", SECOND));
    }

    // Guards against an engine that is left alone for good since its order was lost on the way.
    @Test
    public void should_use_an_engine_again_that_has_not_changed_its_role_for_long() {
        placer.roleChangeOrdered(new RoleChange("leaving", EngineRole.PREFILL), SECOND);

        assertFalse(placer.changingRole("leaving", 30 * SECOND));
    }

    // Guards against an engine that is left alone because an entry hears late of a change that has been made.
    @Test
    public void should_pass_over_a_change_that_has_been_made_already() {
        placer.roleChangeOrdered(new RoleChange("staying", EngineRole.DECODE), SECOND);

        assertFalse(placer.changingRole("staying", SECOND));
    }

    @Test
    public void should_let_answers_leave_only_an_engine_that_will_answer_nobody() {
        AssignedWork answer = placer.attemptStarted(
                TestServers.engine("leaving", EngineRole.DECODE), WorkKind.HANDOFF, 0, OBJECTIVE, SECOND);
        AssignedWork prompt = placer.attemptStarted(
                TestServers.engine("prefill", EngineRole.PREFILL), WorkKind.PROMPT_ONLY, 0.02, OBJECTIVE, SECOND);
        placer.roleChangeOrdered(new RoleChange("leaving", EngineRole.PREFILL), SECOND);
        placer.roleChangeOrdered(new RoleChange("prefill", EngineRole.DECODE), SECOND);

        assertTrue(placer.mustMoveAnswers(answer, SECOND));
        assertFalse(placer.mustMoveAnswers(prompt, SECOND));
    }

    private String answering(long now) {
        Prompt prompt = new Prompt("m", 1000, 100, Optional.empty(), List.of(new PromptPart("own", 1000)));
        PlacementRequest request = new PlacementRequest(
                TestServers.MODEL_SERVICE,
                Optional.of(prompt),
                Duration.ofSeconds(5),
                OBJECTIVE,
                false,
                Set.of(),
                true,
                false,
                false);
        BackendServer prefill = TestServers.engine("prefill", EngineRole.PREFILL);
        return placer.chooseDecodeEngine(request, prefill, now).orElseThrow().id();
    }
}
