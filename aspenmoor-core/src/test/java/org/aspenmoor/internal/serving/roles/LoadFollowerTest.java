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
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public final class LoadFollowerTest {
    private static final double NEEDED = 0.07;

    private LoadFollower follower;

    @BeforeMethod
    public void startAnew() {
        follower = new LoadFollower();
    }

    // Guards against long answers that are cut off at their deadline while prefill engines are idle.
    @Test
    public void should_give_the_quickest_engine_to_answers_that_are_told_too_slowly() {
        ServiceLoad load =
                load(PromptLoad.EASY, answering("a", 0.08), answering("b", 0.09), slow("c"), quick("d"), slow("e"));

        assertEquals(
                follower.move(load), Optional.of(new RoleMove(server("d", EngineRole.PREFILL), EngineRole.DECODE)));
    }

    // Guards against prompts that are refused because an engine was reassigned during a burst of prompts and
    // answers.
    @Test
    public void should_leave_the_engines_with_prompts_that_need_them() {
        ServiceLoad load =
                load(PromptLoad.USUAL, answering("a", 0.08), answering("b", 0.09), slow("c"), quick("d"), slow("e"));

        assertEquals(follower.move(load), Optional.empty());
    }

    @Test
    public void should_change_nothing_while_the_longest_answers_are_whole_in_time() {
        ServiceLoad load =
                load(PromptLoad.EASY, answering("a", 0.04), answering("b", 0.05), slow("c"), quick("d"), slow("e"));

        assertEquals(follower.move(load), Optional.empty());
    }

    @Test
    public void should_change_nothing_while_nobody_has_said_how_long_answers_are() {
        ServiceLoad known =
                load(PromptLoad.EASY, answering("a", 0.08), answering("b", 0.09), slow("c"), quick("d"), slow("e"));
        ServiceLoad unknown = new ServiceLoad("drafting", known.engines(), Optional.empty(), PromptLoad.EASY);

        assertEquals(follower.move(unknown), Optional.empty());
    }

    // Guards against a slow engine that keeps decoding: the reassigned engine is fast, so the slow one returns to
    // prefill.
    @Test
    public void should_return_the_slowest_engine_once_prompts_press() {
        ServiceLoad load = load(
                PromptLoad.PRESSED,
                answering("a", 0.05),
                answering("b", 0.08),
                answering("c", 0.05),
                quick("d"),
                quick("e"),
                quick("f"));

        assertEquals(
                follower.move(load), Optional.of(new RoleMove(server("b", EngineRole.DECODE), EngineRole.PREFILL)));
    }

    // Guards against prompts that have to wait because an engine returns to prefill only after they queue.
    @Test
    public void should_return_an_engine_before_prompts_wait_where_the_others_bear_the_answers() {
        assertEquals(
                follower.move(lent(PromptLoad.USUAL, 0.05)),
                Optional.of(new RoleMove(server("a", EngineRole.DECODE), EngineRole.PREFILL)));
    }

    @Test
    public void should_keep_a_lent_engine_while_the_others_would_be_too_slow_and_prompts_keep_up() {
        assertEquals(follower.move(lent(PromptLoad.USUAL, 0.07)), Optional.empty());
    }

    // Guards against exchanging a slow engine only when prompts need it, which would keep an engine from prefill
    // longer than the exchange takes.
    @Test
    public void should_exchange_a_slow_engine_while_prompts_leave_others_idle() {
        ServiceLoad load = load(
                PromptLoad.EASY,
                answering("a", 0.04),
                answering("b", 0.06),
                answering("c", 0.04),
                quick("d"),
                quick("e"),
                quick("f"));

        assertEquals(
                follower.move(load), Optional.of(new RoleMove(server("b", EngineRole.DECODE), EngineRole.PREFILL)));
    }

    @Test
    public void should_keep_a_lent_engine_while_prompts_leave_others_idle() {
        assertEquals(follower.move(lent(PromptLoad.EASY, 0.03)), Optional.empty());
    }

    // Guards against engines that change back and forth: each change makes one unavailable for seconds.
    @Test
    public void should_wait_after_a_change_before_the_next() {
        ServiceLoad load = load(
                PromptLoad.EASY,
                answering("a", 0.08),
                answering("b", 0.09),
                quick("c"),
                quick("d"),
                quick("e"),
                quick("f"));

        assertEquals(follower.move(load).isPresent(), true);
        follower.changed();
        assertEquals(follower.move(load), Optional.empty());
        assertEquals(follower.move(load), Optional.empty());
        assertEquals(follower.move(load).isPresent(), true);
    }

    // Guards against losing seconds if the order could not be given at once.
    @Test
    public void should_ask_again_for_a_change_that_did_not_come_about() {
        ServiceLoad load = load(
                PromptLoad.EASY,
                answering("a", 0.08),
                answering("b", 0.09),
                quick("c"),
                quick("d"),
                quick("e"),
                quick("f"));

        assertEquals(follower.move(load), follower.move(load));
    }

    // Guards against cutting off the longest answers of one slow engine while the mean of all engines is good
    // enough.
    @Test
    public void should_give_an_engine_where_one_of_those_that_answer_is_slow() {
        ServiceLoad load = load(
                PromptLoad.EASY,
                answering("a", 0.04),
                answering("b", 0.065),
                quick("c"),
                quick("d"),
                quick("e"),
                quick("f"));

        assertEquals(
                follower.move(load), Optional.of(new RoleMove(server("c", EngineRole.PREFILL), EngineRole.DECODE)));
    }

    @Test
    public void should_change_one_engine_at_a_time() {
        EngineState changing =
                new EngineState(server("d", EngineRole.PREFILL), new EngineLoad(0, Optional.empty()), 1, true);
        ServiceLoad load =
                load(PromptLoad.EASY, answering("a", 0.08), answering("b", 0.09), quick("c"), changing, quick("e"));

        assertEquals(follower.move(load), Optional.empty());
    }

    /**
     * Returns three decode engines with the same event interval, where the target is two, and three prefill
     * engines.
     */
    private static ServiceLoad lent(PromptLoad prompts, double pace) {
        return load(
                prompts,
                answering("a", pace),
                answering("b", pace),
                answering("c", pace),
                quick("d"),
                quick("e"),
                quick("f"));
    }

    private static ServiceLoad load(PromptLoad prompts, EngineState... engines) {
        return new ServiceLoad("drafting", new ArrayList<>(List.of(engines)), Optional.of(NEEDED), prompts);
    }

    private static EngineState answering(String id, double pace) {
        return new EngineState(server(id, EngineRole.DECODE), new EngineLoad(30, Optional.of(pace)), 1, false);
    }

    private static EngineState quick(String id) {
        return new EngineState(server(id, EngineRole.PREFILL), new EngineLoad(1, Optional.empty()), 0.9, false);
    }

    private static EngineState slow(String id) {
        return new EngineState(server(id, EngineRole.PREFILL), new EngineLoad(1, Optional.empty()), 1.2, false);
    }

    private static BackendServer server(String id, EngineRole role) {
        return new BackendServer(id, 1, "drafting", "127.0.0.1", 1, "a", 64, BackendState.READY, role);
    }
}
