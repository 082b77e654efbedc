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

    private Placer placer;

    @BeforeMethod
    public void start() {
        placer = new Placer(new PlacementSettings("here", SPEED, 0.42, 0), new PeerLoads(), new Random(1));
        placer.changed(TestServers.engine("prefill", EngineRole.PREFILL), TestServers.CACHE_TOKENS);
        placer.changed(TestServers.engine("leaving", EngineRole.DECODE), TestServers.CACHE_TOKENS);
        placer.changed(TestServers.engine("staying", EngineRole.DECODE), TestServers.CACHE_TOKENS);
    }

    // Guards against requests that an engine rejects for seconds because it is changing its role.
    @Test
    public void should_place_nothing_at_an_engine_that_changes_its_role() {
        placer.roleChanging(new RoleChange("leaving", EngineRole.PREFILL), SECOND);

        for (int choice = 0; choice < 20; choice++) {
            assertEquals(answering(SECOND), "staying");
        }
    }

    @Test
    public void should_use_an_engine_again_that_has_changed_its_role() {
        placer.roleChanging(new RoleChange("leaving", EngineRole.PREFILL), SECOND);
        placer.changed(TestServers.engine("leaving", EngineRole.PREFILL), TestServers.CACHE_TOKENS);

        assertFalse(placer.changing("leaving", SECOND));
    }

    // Guards against an engine that is left alone for good since its order was lost on the way.
    @Test
    public void should_use_an_engine_again_that_has_not_changed_its_role_for_long() {
        placer.roleChanging(new RoleChange("leaving", EngineRole.PREFILL), SECOND);

        assertFalse(placer.changing("leaving", 30 * SECOND));
    }

    // Guards against an engine that is left alone because an entry hears late of a change that has been made.
    @Test
    public void should_pass_over_a_change_that_has_been_made_already() {
        placer.roleChanging(new RoleChange("staying", EngineRole.DECODE), SECOND);

        assertFalse(placer.changing("staying", SECOND));
    }

    @Test
    public void should_let_answers_leave_only_an_engine_that_will_answer_nobody() {
        PlacedWork answer = placer.placed(
                TestServers.engine("leaving", EngineRole.DECODE), WorkKind.HAND_OVER, 0, OBJECTIVE, SECOND);
        PlacedWork prompt = placer.placed(
                TestServers.engine("prefill", EngineRole.PREFILL), WorkKind.PROMPT_ONLY, 0.02, OBJECTIVE, SECOND);
        placer.roleChanging(new RoleChange("leaving", EngineRole.PREFILL), SECOND);
        placer.roleChanging(new RoleChange("prefill", EngineRole.DECODE), SECOND);

        assertTrue(placer.leavesAnswers(answer, SECOND));
        assertFalse(placer.leavesAnswers(prompt, SECOND));
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
        return placer.chooseDecoder(request, prefill, now).orElseThrow().id();
    }
}
