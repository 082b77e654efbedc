package org.aspenmoor.internal.serving.roles;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.aspenmoor.internal.engine.EngineRole;
import org.aspenmoor.internal.serving.BackendServer;
import org.aspenmoor.internal.serving.BackendState;
import org.aspenmoor.internal.serving.EngineLoad;
import org.aspenmoor.internal.serving.EngineState;
import org.aspenmoor.internal.serving.PromptLoad;
import org.aspenmoor.internal.serving.ServiceLoad;
import org.aspenmoor.internal.serving.SoftwareVersion;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public final class LoadBasedRolePolicyTest {
    private static final double REQUIRED_EVENT_SECONDS = 0.07;

    private LoadBasedRolePolicy policy;

    @BeforeMethod
    public void createPolicy() {
        policy = new LoadBasedRolePolicy();
    }

    // Guards against long answers that are cut off at their deadline while prefill engines are idle.
    @Test
    public void should_reassign_the_fastest_prefill_engine_when_answers_are_generated_too_slowly() {
        ServiceLoad load = load(
                PromptLoad.EASY,
                decodeEngine("a", 0.08),
                decodeEngine("b", 0.09),
                slowPrefillEngine("c"),
                fastPrefillEngine("d"),
                slowPrefillEngine("e"));

        assertEquals(
                policy.nextChange(load),
                Optional.of(new PlannedRoleChange(server("d", EngineRole.PREFILL), EngineRole.DECODE)));
    }

    // Guards against prompts that are refused because an engine was reassigned during a burst of prompts and
    // answers.
    @Test
    public void should_change_nothing_when_prompts_need_the_prefill_engines() {
        ServiceLoad load = load(
                PromptLoad.USUAL,
                decodeEngine("a", 0.08),
                decodeEngine("b", 0.09),
                slowPrefillEngine("c"),
                fastPrefillEngine("d"),
                slowPrefillEngine("e"));

        assertEquals(policy.nextChange(load), Optional.empty());
    }

    @Test
    public void should_change_nothing_when_the_longest_answers_complete_in_time() {
        ServiceLoad load = load(
                PromptLoad.EASY,
                decodeEngine("a", 0.04),
                decodeEngine("b", 0.05),
                slowPrefillEngine("c"),
                fastPrefillEngine("d"),
                slowPrefillEngine("e"));

        assertEquals(policy.nextChange(load), Optional.empty());
    }

    @Test
    public void should_change_nothing_when_the_required_interval_is_unknown() {
        ServiceLoad known = load(
                PromptLoad.EASY,
                decodeEngine("a", 0.08),
                decodeEngine("b", 0.09),
                slowPrefillEngine("c"),
                fastPrefillEngine("d"),
                slowPrefillEngine("e"));
        ServiceLoad unknown = new ServiceLoad("drafting", known.engines(), Optional.empty(), PromptLoad.EASY);

        assertEquals(policy.nextChange(unknown), Optional.empty());
    }

    // Guards against a slow engine that keeps decoding: the reassigned engine is fast, so the slow one returns to
    // prefill.
    @Test
    public void should_change_the_slowest_engine_back_to_prefill_when_prompts_need_it() {
        ServiceLoad load = load(
                PromptLoad.PRESSED,
                decodeEngine("a", 0.05),
                decodeEngine("b", 0.08),
                decodeEngine("c", 0.05),
                fastPrefillEngine("d"),
                fastPrefillEngine("e"),
                fastPrefillEngine("f"));

        assertEquals(
                policy.nextChange(load),
                Optional.of(new PlannedRoleChange(server("b", EngineRole.DECODE), EngineRole.PREFILL)));
    }

    // Guards against prompts that have to wait because an engine returns to prefill only after they queue.
    @Test
    public void should_change_an_engine_back_to_prefill_before_prompts_wait_when_the_others_can_serve_the_answers() {
        assertEquals(
                policy.nextChange(loadWithReassignedEngine(PromptLoad.USUAL, 0.05)),
                Optional.of(new PlannedRoleChange(server("a", EngineRole.DECODE), EngineRole.PREFILL)));
    }

    @Test
    public void should_keep_a_reassigned_engine_when_the_others_would_be_too_slow_and_prompts_keep_up() {
        assertEquals(policy.nextChange(loadWithReassignedEngine(PromptLoad.USUAL, 0.07)), Optional.empty());
    }

    // Guards against exchanging a slow engine only when prompts need it, which would keep an engine from prefill
    // longer than the exchange takes.
    @Test
    public void should_exchange_a_slow_engine_when_prefill_engines_are_idle() {
        ServiceLoad load = load(
                PromptLoad.EASY,
                decodeEngine("a", 0.04),
                decodeEngine("b", 0.06),
                decodeEngine("c", 0.04),
                fastPrefillEngine("d"),
                fastPrefillEngine("e"),
                fastPrefillEngine("f"));

        assertEquals(
                policy.nextChange(load),
                Optional.of(new PlannedRoleChange(server("b", EngineRole.DECODE), EngineRole.PREFILL)));
    }

    @Test
    public void should_keep_a_reassigned_engine_when_prefill_engines_are_idle() {
        assertEquals(policy.nextChange(loadWithReassignedEngine(PromptLoad.EASY, 0.03)), Optional.empty());
    }

    // Guards against engines that change back and forth: each change makes one unavailable for seconds.
    @Test
    public void should_wait_before_the_next_change_when_one_was_accepted() {
        ServiceLoad load = load(
                PromptLoad.EASY,
                decodeEngine("a", 0.08),
                decodeEngine("b", 0.09),
                fastPrefillEngine("c"),
                fastPrefillEngine("d"),
                fastPrefillEngine("e"),
                fastPrefillEngine("f"));

        assertEquals(policy.nextChange(load).isPresent(), true);
        policy.changeAccepted();
        assertEquals(policy.nextChange(load), Optional.empty());
        assertEquals(policy.nextChange(load), Optional.empty());
        assertEquals(policy.nextChange(load).isPresent(), true);
    }

    // Guards against losing seconds if the order could not be given at once.
    @Test
    public void should_return_the_same_change_when_it_was_not_accepted() {
        ServiceLoad load = load(
                PromptLoad.EASY,
                decodeEngine("a", 0.08),
                decodeEngine("b", 0.09),
                fastPrefillEngine("c"),
                fastPrefillEngine("d"),
                fastPrefillEngine("e"),
                fastPrefillEngine("f"));

        assertEquals(policy.nextChange(load), policy.nextChange(load));
    }

    // Guards against cutting off the longest answers of one slow engine while the mean of all engines is good
    // enough.
    @Test
    public void should_reassign_an_engine_when_one_decode_engine_is_slow() {
        ServiceLoad load = load(
                PromptLoad.EASY,
                decodeEngine("a", 0.04),
                decodeEngine("b", 0.065),
                fastPrefillEngine("c"),
                fastPrefillEngine("d"),
                fastPrefillEngine("e"),
                fastPrefillEngine("f"));

        assertEquals(
                policy.nextChange(load),
                Optional.of(new PlannedRoleChange(server("c", EngineRole.PREFILL), EngineRole.DECODE)));
    }

    @Test
    public void should_change_nothing_when_another_engine_is_changing() {
        EngineState changing =
                new EngineState(server("d", EngineRole.PREFILL), new EngineLoad(0, Optional.empty()), 1, true, false);
        ServiceLoad load = load(
                PromptLoad.EASY,
                decodeEngine("a", 0.08),
                decodeEngine("b", 0.09),
                fastPrefillEngine("c"),
                changing,
                fastPrefillEngine("e"));

        assertEquals(policy.nextChange(load), Optional.empty());
    }

    // Guards against an engine that takes a few requests a second and is lent to the answers for its speed.
    @Test
    public void should_not_reassign_an_engine_whose_limit_keeps_it_from_an_even_part() {
        EngineState restricted =
                new EngineState(server("c", EngineRole.PREFILL), new EngineLoad(1, Optional.empty()), 0.8, false, true);
        ServiceLoad load = load(
                PromptLoad.EASY,
                decodeEngine("a", 0.09),
                decodeEngine("b", 0.09),
                restricted,
                fastPrefillEngine("d"),
                fastPrefillEngine("e"),
                fastPrefillEngine("f"));

        assertEquals(
                policy.nextChange(load),
                Optional.of(new PlannedRoleChange(server("d", EngineRole.PREFILL), EngineRole.DECODE)));
    }

    // Guards against answers that depend on one engine because the others that answer take a few requests a second.
    @Test
    public void should_replace_decode_engines_whose_limits_keep_them_from_an_even_part() {
        EngineState limited =
                new EngineState(server("b", EngineRole.DECODE), new EngineLoad(5, Optional.empty()), 1, false, true);
        EngineState alsoLimited =
                new EngineState(server("c", EngineRole.DECODE), new EngineLoad(5, Optional.empty()), 1, false, true);
        ServiceLoad load = load(
                PromptLoad.USUAL,
                decodeEngine("a", 0.05),
                limited,
                alsoLimited,
                fastPrefillEngine("d"),
                fastPrefillEngine("e"),
                fastPrefillEngine("f"),
                fastPrefillEngine("g"),
                fastPrefillEngine("h"));

        assertEquals(
                new RoleRatioPolicy().plannedChanges(load.unrestrictedServers(), false),
                List.of(new PlannedRoleChange(server("d", EngineRole.PREFILL), EngineRole.DECODE)));
    }

    /**
     * Returns three decode engines with the same event interval, where the target is two, and three prefill
     * engines.
     */
    private static ServiceLoad loadWithReassignedEngine(PromptLoad prompts, double eventSeconds) {
        return load(
                prompts,
                decodeEngine("a", eventSeconds),
                decodeEngine("b", eventSeconds),
                decodeEngine("c", eventSeconds),
                fastPrefillEngine("d"),
                fastPrefillEngine("e"),
                fastPrefillEngine("f"));
    }

    private static ServiceLoad load(PromptLoad prompts, EngineState... engines) {
        return new ServiceLoad(
                "drafting", new ArrayList<>(List.of(engines)), Optional.of(REQUIRED_EVENT_SECONDS), prompts);
    }

    private static EngineState decodeEngine(String id, double eventSeconds) {
        return new EngineState(
                server(id, EngineRole.DECODE), new EngineLoad(30, Optional.of(eventSeconds)), 1, false, false);
    }

    private static EngineState fastPrefillEngine(String id) {
        return new EngineState(server(id, EngineRole.PREFILL), new EngineLoad(1, Optional.empty()), 0.9, false, false);
    }

    private static EngineState slowPrefillEngine(String id) {
        return new EngineState(server(id, EngineRole.PREFILL), new EngineLoad(1, Optional.empty()), 1.2, false, false);
    }

    private static BackendServer server(String id, EngineRole role) {
        return new BackendServer(
                id, 1, "drafting", new SoftwareVersion("one"), "127.0.0.1", 1, "a", 64, BackendState.READY, role);
    }
}
