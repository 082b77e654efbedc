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
    private static final List<KindWeight> KINDS = List.of(new KindWeight("cue", 10, 4), new KindWeight("note", 6, 20));
    private static final RoleChangeCosts CHEAP = new RoleChangeCosts(3, 0.3, 1);
    private static final RoleChangeCosts DEAR = new RoleChangeCosts(3, 0.3, 100_000);

    private RolePlanner planner;
    private long sequence;

    @BeforeMethod
    public void start() {
        planner = new RolePlanner(PlannerSettings.usual());
        sequence = 0;
    }

    @Test
    public void should_stand_still_without_counts() {
        RolePlan plan = planner.plan(input(engines(4, 4), CHEAP), SECOND);

        assertTrue(plan.changes().isEmpty());
        assertEquals(plan.reason(), "No counts have come in.");
    }

    // An entry that is cut off sends no counts. What it counted before says nothing about now, and a change made on it
    // would take engines away for a mix that may be over.
    @Test
    public void should_stand_still_where_counts_are_old() {
        count(0, 30, 14, 1);

        RolePlan plan = planner.plan(input(engines(2, 6), CHEAP), 40 * SECOND);

        assertTrue(plan.changes().isEmpty());
        assertTrue(plan.reason().contains("old"), plan.reason());
    }

    @Test
    public void should_refuse_counts_that_make_no_sense() {
        assertFalse(
                planner.observe(new WorkCounts("entry", 1, 0, SECOND, List.of(new KindCount("cue", -3, 10, 10, 0)))));
        assertFalse(planner.observe(
                new WorkCounts("entry", 1, SECOND, SECOND, List.of(new KindCount("cue", 3, 10, 10, 0)))));
    }

    @Test
    public void should_drop_counts_that_came_before() {
        WorkCounts counts = new WorkCounts("entry", 1, 0, SECOND, List.of(new KindCount("cue", 3, 10, 10, 0)));

        assertTrue(planner.observe(counts));
        assertFalse(planner.observe(counts));
    }

    @Test
    public void should_move_several_engines_together_where_that_pays() {
        count(0, 30, 14, 1);

        RolePlan plan = planner.plan(input(engines(2, 6), CHEAP), 30 * SECOND + SECOND / 2);

        assertTrue(plan.changes().size() > 1, plan.reason());
        assertTrue(plan.changes().stream().allMatch(change -> change.from() == EngineRole.DECODE), plan.reason());
    }

    @Test
    public void should_stand_still_where_the_price_is_above_the_gain() {
        count(0, 30, 14, 1);

        RolePlan plan = planner.plan(input(engines(2, 6), DEAR), 30 * SECOND + SECOND / 2);

        assertTrue(plan.changes().isEmpty(), plan.reason());
    }

    // The mix swings faster than an engine can change. A planner that follows it has its engines away most of the time
    // and always in the role that was needed before.
    @Test
    public void should_not_chase_a_mix_that_swings_faster_than_a_change_pays() {
        int changes = 0;
        RoleChangeCosts seitkali = new RoleChangeCosts(3, 0.3, 60);
        for (int second = 0; second < 120; second++) {
            boolean prompts = second / 4 % 2 == 0;
            count(second, second + 1, prompts ? 12 : 2, prompts ? 1 : 11);
            changes += planner.plan(input(engines(4, 4), seitkali), (second + 1) * SECOND + SECOND / 2)
                    .changes()
                    .size();
        }

        assertEquals(changes, 0);
    }

    @Test
    public void should_never_leave_a_role_empty_that_has_work() {
        count(0, 60, 30, 0);

        RolePlan plan = planner.plan(input(engines(7, 1), CHEAP), 60 * SECOND + SECOND / 2);

        assertTrue(plan.roles().containsValue(EngineRole.DECODE) || plan.roles().containsValue(EngineRole.WHOLE));
    }

    @Test
    public void should_plan_without_withdrawn_engines_and_leave_changing_ones_alone() {
        count(0, 30, 14, 1);
        List<PlannedEngine> engines = new ArrayList<>(engines(2, 4));
        engines.add(new PlannedEngine("gone", EngineRole.DECODE, new EngineAvailability.Withdrawn(), 0));
        engines.add(new PlannedEngine("changing", EngineRole.DECODE, new EngineAvailability.Changing(0), 0));

        RolePlan plan = planner.plan(input(engines, CHEAP), 30 * SECOND + SECOND / 2);

        assertTrue(plan.changes().stream()
                .noneMatch(change ->
                        change.engine().equals("gone") || change.engine().equals("changing")));
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
