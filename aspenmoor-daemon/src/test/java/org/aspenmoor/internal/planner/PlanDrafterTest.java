package org.aspenmoor.internal.planner;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.aspenmoor.internal.authority.EngineAssignment;
import org.aspenmoor.internal.authority.LoadItem;
import org.aspenmoor.internal.document.BackendDeclaration.EngineDeclaration;
import org.aspenmoor.internal.document.ModelDeclaration;
import org.aspenmoor.internal.document.ServiceDocument;
import org.aspenmoor.internal.document.ServiceName;
import org.aspenmoor.internal.engine.EngineRole;
import org.aspenmoor.internal.rollout.LoadBudget;
import org.aspenmoor.internal.time.ManualTimeSource;
import org.testng.annotations.Test;

public class PlanDrafterTest {
    private static final EngineAssignment OLD = assignment("4");
    private static final EngineAssignment NEW = assignment("5");
    private static final Map<String, EngineAssignment> PREVIOUS = Map.of("drafter-1", OLD, "drafter-2", OLD);

    private final PlanDrafter drafter = new PlanDrafter(new LoadBudget(new ManualTimeSource(), 1, 10));

    @Test
    public void should_assign_a_new_version_to_one_engine_first() {
        Map<String, EngineAssignment> next =
                drafter.draft(document(), List.of(engine("drafter-1", "4", 0), engine("drafter-2", "4", 3)), PREVIOUS);

        assertEquals(next, Map.of("drafter-1", NEW, "drafter-2", OLD));
    }

    // The first engine was assigned the new version, but its agent reads plans only every few seconds, and the other
    // engine has become the less busy one. Changing it too would make both unavailable at once, and callers would be
    // refused.
    @Test
    public void should_change_no_second_engine_while_the_first_has_not_loaded() {
        Map<String, EngineAssignment> first = Map.of("drafter-1", NEW, "drafter-2", OLD);

        Map<String, EngineAssignment> next =
                drafter.draft(document(), List.of(engine("drafter-1", "4", 3), engine("drafter-2", "4", 0)), first);

        assertEquals(next, first);
    }

    @Test
    public void should_change_the_second_engine_when_the_first_has_loaded_the_version() {
        Map<String, EngineAssignment> first = Map.of("drafter-1", NEW, "drafter-2", OLD);

        Map<String, EngineAssignment> next =
                drafter.draft(document(), List.of(engine("drafter-1", "5", 0), engine("drafter-2", "4", 0)), first);

        assertEquals(next, Map.of("drafter-1", NEW, "drafter-2", NEW));
    }

    private static EngineSnapshot engine(String name, String version, int running) {
        return new EngineSnapshot(
                name,
                new ServiceName("studio", "drafting"),
                "almaty-1",
                true,
                true,
                EngineRole.WHOLE,
                Set.of("drafter@" + version),
                running);
    }

    private static EngineAssignment assignment(String version) {
        return new EngineAssignment(EngineRole.WHOLE, List.of(new LoadItem("drafter", Optional.empty(), version)));
    }

    private static ServiceDocument document() {
        return new ServiceDocument(
                "studio",
                "drafting",
                2,
                List.of(new ModelDeclaration("drafter", "5", List.of())),
                List.of(),
                0,
                List.of(),
                List.of(
                        new EngineDeclaration("drafter-1", "almaty-1", true),
                        new EngineDeclaration("drafter-2", "almaty-1", true)));
    }
}
