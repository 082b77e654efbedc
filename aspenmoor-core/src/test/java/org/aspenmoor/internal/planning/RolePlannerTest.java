package org.aspenmoor.internal.planning;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.aspenmoor.internal.engine.EngineRole;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class RolePlannerTest {
    private static final long SECOND = 1_000_000_000L;
    private static final List<KindObjective> KINDS =
            List.of(new KindObjective("cue", 10, 4), new KindObjective("note", 6, 20));
    private static final RoleChangeCosts CHEAP = new RoleChangeCosts(3, 0.3, 1);
    private static final RoleChangeCosts EXPENSIVE = new RoleChangeCosts(3, 0.3, 100_000);

    private RolePlanner planner;
    private long sequence;

    @BeforeMethod
    public void createPlanner() {
        planner = new RolePlanner(PlannerSettings.defaults());
        sequence = 0;
    }

    @Test
    public void should_keep_roles_when_no_counts_were_received() {
        RolePlan plan = planner.plan(input(engines(4, 4), CHEAP), SECOND);

        assertTrue(plan.changes().isEmpty());
        assertEquals(plan.reason(), "No counts were received.");
    }

    // A disconnected entry sends no counts. A change based on its old counts would make engines unavailable for a mix
    // that may have ended.
    @Test
    public void should_keep_roles_when_counts_are_stale() {
        count(0, 30, 14, 1);

        RolePlan plan = planner.plan(input(engines(2, 6), CHEAP), 40 * SECOND);

        assertTrue(plan.changes().isEmpty());
        assertTrue(plan.reason().contains("old"), plan.reason());
    }

    @Test
    public void should_reject_counts_when_they_are_invalid() {
        assertFalse(
                planner.observe(new WorkCounts("entry", 1, 0, SECOND, List.of(new KindCount("cue", -3, 10, 10, 0)))));
        assertFalse(planner.observe(
                new WorkCounts("entry", 1, SECOND, SECOND, List.of(new KindCount("cue", 3, 10, 10, 0)))));
    }

    @Test
    public void should_ignore_counts_when_they_were_already_applied() {
        WorkCounts counts = new WorkCounts("entry", 1, 0, SECOND, List.of(new KindCount("cue", 3, 10, 10, 0)));

        assertTrue(planner.observe(counts));
        assertFalse(planner.observe(counts));
    }

    @Test
    public void should_change_several_engines_at_once_when_the_gain_exceeds_the_cost() {
        count(0, 30, 14, 1);

        RolePlan plan = planner.plan(input(engines(2, 6), CHEAP), 30 * SECOND + SECOND / 2);

        assertTrue(plan.changes().size() > 1, plan.reason());
        assertTrue(plan.changes().stream().allMatch(change -> change.from() == EngineRole.DECODE), plan.reason());
    }

    @Test
    public void should_keep_roles_when_the_price_exceeds_the_gain() {
        count(0, 30, 14, 1);

        RolePlan plan = planner.plan(input(engines(2, 6), EXPENSIVE), 30 * SECOND + SECOND / 2);

        assertTrue(plan.changes().isEmpty(), plan.reason());
    }

    // The mix changes faster than an engine can change its role. A planner that follows it makes engines unavailable
    // most of the time, and gives them the role that the previous mix needed.
    @Test
    public void should_keep_roles_when_the_mix_changes_faster_than_a_role_change_pays_off() {
        int changes = 0;
        RoleChangeCosts moderate = new RoleChangeCosts(3, 0.3, 60);
        for (int second = 0; second < 120; second++) {
            boolean prompts = second / 4 % 2 == 0;
            count(second, second + 1, prompts ? 12 : 2, prompts ? 1 : 11);
            changes += planner.plan(input(engines(4, 4), moderate), (second + 1) * SECOND + SECOND / 2)
                    .changes()
                    .size();
        }

        assertEquals(changes, 0);
    }

    @Test
    public void should_keep_an_engine_for_decode_when_prefill_dominates() {
        count(0, 60, 30, 0);

        RolePlan plan = planner.plan(input(engines(7, 1), CHEAP), 60 * SECOND + SECOND / 2);

        assertTrue(plan.roles().containsValue(EngineRole.DECODE) || plan.roles().containsValue(EngineRole.WHOLE));
    }

    @Test
    public void should_not_change_an_engine_when_it_is_withdrawn_or_already_changing() {
        count(0, 30, 14, 1);
        List<PlannedEngine> engines = new ArrayList<>(engines(2, 4));
        engines.add(new PlannedEngine("withdrawn", EngineRole.DECODE, new EngineAvailability.Withdrawn(), 0));
        engines.add(new PlannedEngine("changing", EngineRole.DECODE, new EngineAvailability.Changing(0), 0));

        RolePlan plan = planner.plan(input(engines, CHEAP), 30 * SECOND + SECOND / 2);

        assertTrue(plan.changes().stream()
                .noneMatch(change ->
                        change.engine().equals("withdrawn") || change.engine().equals("changing")));
    }

    private void count(int fromSecond, int toSecond, int cues, int notes) {
        for (int second = fromSecond; second < toSecond; second++) {
            planner.observe(new WorkCounts(
                    "entry",
                    sequence++,
                    second * SECOND,
                    (second + 1) * SECOND,
                    List.of(
                            new KindCount("cue", cues, cues * 3_000L, cues * 60L, 0),
                            new KindCount("note", notes, notes * 600L, notes * 500L, 0))));
        }
    }

    private static PlanningInput input(List<PlannedEngine> engines, RoleChangeCosts costs) {
        return new PlanningInput(engines, KINDS, costs);
    }

    private static List<PlannedEngine> engines(int prefill, int decode) {
        List<PlannedEngine> engines = new ArrayList<>();
        for (int number = 0; number < prefill + decode; number++) {
            EngineRole role = number < prefill ? EngineRole.PREFILL : EngineRole.DECODE;
            engines.add(new PlannedEngine("engine-" + number, role, new EngineAvailability.Available(), 0));
        }
        return engines;
    }
}
