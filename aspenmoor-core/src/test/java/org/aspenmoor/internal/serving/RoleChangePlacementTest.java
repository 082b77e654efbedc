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
import org.aspenmoor.internal.serving.entries.KnownEntries;
import org.aspenmoor.internal.serving.limit.ServerLimits;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public final class RoleChangePlacementTest {
    private static final long SECOND = 1_000_000_000L;
    private static final Duration OBJECTIVE = Duration.ofMillis(500);
    private static final EngineSpeed SPEED =
            new EngineSpeed(112_000, 0.003_41, 0.000_097, 0.25, 2048, 0.008, 2_300_000);

    private PlacementPolicy policy;

    @BeforeMethod
    public void createPolicy() {
        policy = new PlacementPolicy(
                new PlacementSettings("here", SPEED, 0.42, 0),
                new PeerLoads(),
                new ServerLimits(new KnownEntries("one"), new Random(1)),
                new Random(1));
        policy.serverChanged(TestServers.engine("prefill", EngineRole.PREFILL), TestServers.CACHE_TOKENS);
        policy.serverChanged(TestServers.engine("leaving", EngineRole.DECODE), TestServers.CACHE_TOKENS);
        policy.serverChanged(TestServers.engine("staying", EngineRole.DECODE), TestServers.CACHE_TOKENS);
    }

    // An engine rejects requests for seconds while it changes its role.
    @Test
    public void should_assign_nothing_to_an_engine_while_it_changes_its_role() {
        policy.roleChangeOrdered(new RoleChange("leaving", EngineRole.PREFILL), SECOND);

        for (int choice = 0; choice < 20; choice++) {
            assertEquals(decodeEngine(SECOND), "staying");
        }
    }

    @Test
    public void should_use_an_engine_again_when_it_has_changed_its_role() {
        policy.roleChangeOrdered(new RoleChange("leaving", EngineRole.PREFILL), SECOND);
        policy.serverChanged(TestServers.engine("leaving", EngineRole.PREFILL), TestServers.CACHE_TOKENS);

        assertFalse(policy.changingRole("leaving", SECOND));
    }

    // An engine must not be excluded forever because its order was lost.
    @Test
    public void should_use_an_engine_again_when_a_role_change_times_out() {
        policy.roleChangeOrdered(new RoleChange("leaving", EngineRole.PREFILL), SECOND);

        assertFalse(policy.changingRole("leaving", 30 * SECOND));
    }

    // An engine must not be excluded because an entry is notified late of a change that has already been made.
    @Test
    public void should_ignore_a_role_change_when_it_has_been_made_already() {
        policy.roleChangeOrdered(new RoleChange("staying", EngineRole.DECODE), SECOND);

        assertFalse(policy.changingRole("staying", SECOND));
    }

    @Test
    public void should_move_answers_only_when_their_engine_will_stop_decoding() {
        AssignedWork decodeWork = policy.attemptStarted(
                TestServers.engine("leaving", EngineRole.DECODE), WorkKind.HANDOFF, 0, OBJECTIVE, SECOND);
        AssignedWork prefillWork = policy.attemptStarted(
                TestServers.engine("prefill", EngineRole.PREFILL), WorkKind.PROMPT_ONLY, 0.02, OBJECTIVE, SECOND);
        policy.roleChangeOrdered(new RoleChange("leaving", EngineRole.PREFILL), SECOND);
        policy.roleChangeOrdered(new RoleChange("prefill", EngineRole.DECODE), SECOND);

        assertTrue(policy.answerMoves().mustLeave(decodeWork, SECOND));
        assertFalse(policy.answerMoves().mustLeave(prefillWork, SECOND));
    }

    private String decodeEngine(long now) {
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
                false,
                new VersionRequirement.Any());
        BackendServer prefill = TestServers.engine("prefill", EngineRole.PREFILL);
        return policy.chooseDecodeEngine(request, prefill, now).orElseThrow().id();
    }
}
