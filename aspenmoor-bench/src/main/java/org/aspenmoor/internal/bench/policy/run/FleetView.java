package org.aspenmoor.internal.bench.policy.run;

import java.util.Collection;
import java.util.List;
import org.aspenmoor.internal.bench.policy.engine.EngineState;
import org.aspenmoor.internal.bench.policy.engine.FakeEngine;
import org.aspenmoor.internal.bench.policy.fleet.Fleet;
import org.aspenmoor.internal.bench.policy.strategy.FleetLoad;
import org.aspenmoor.internal.engine.EngineLoad;
import org.aspenmoor.internal.engine.EngineRole;
import org.aspenmoor.internal.planning.EngineAvailability;
import org.aspenmoor.internal.planning.KindObjective;
import org.aspenmoor.internal.planning.PlannedEngine;
import org.aspenmoor.internal.planning.PlanningInput;
import org.aspenmoor.internal.planning.RoleChangeCosts;

/** Input of the planners: the state of the fleet at one point in time. */
final class FleetView {
    private static final double NANOSECONDS = 1e9;
    private static final double DRAIN_SECONDS = 0.3;

    private final Fleet fleet;
    private final Collection<FakeEngine> engines;

    FleetView(Fleet fleet, Collection<FakeEngine> engines) {
        this.fleet = fleet;
        this.engines = engines;
    }

    PlanningInput input() {
        List<PlannedEngine> planned = engines.stream()
                .map(engine -> new PlannedEngine(
                        engine.name(), engine.plannedRole(), availability(engine), engine.runningSequences()))
                .toList();
        List<KindObjective> kinds = fleet.kinds().stream()
                .map(kind -> new KindObjective(
                        kind.declaration().name(),
                        kind.declaration().weight(),
                        kind.declaration().deadline().toMillis() / 1000.0))
                .toList();
        RoleChangeCosts costs =
                new RoleChangeCosts(fleet.parameters().roleChangeSeconds(), DRAIN_SECONDS, fleet.roleChangePrice());
        return new PlanningInput(planned, kinds, costs);
    }

    FleetLoad load() {
        double prefillTokens = 0;
        int prefillEngines = 0;
        double occupancySum = 0;
        int decodeEngines = 0;
        for (FakeEngine engine : engines) {
            if (engine.state() != EngineState.READY) {
                continue;
            }
            EngineLoad load = engine.load();
            if (engine.role() != EngineRole.DECODE) {
                prefillTokens += load.queuedPrefillTokens();
                prefillEngines++;
            }
            if (engine.role() != EngineRole.PREFILL) {
                occupancySum += (double) load.runningSequences() / load.maxSequences();
                decodeEngines++;
            }
        }
        double prefillSeconds = fleet.parameters().speed().prefillSeconds(prefillTokens);
        return new FleetLoad(prefillSeconds / Math.max(1, prefillEngines), occupancySum / Math.max(1, decodeEngines));
    }

    private static EngineAvailability availability(FakeEngine engine) {
        return switch (engine.state()) {
            case READY -> new EngineAvailability.Available();
            case WITHDRAWN -> new EngineAvailability.Withdrawn();
            case DRAINING, AWAY -> new EngineAvailability.Changing((long) (engine.roleChangeStartedAt() * NANOSECONDS));
        };
    }
}
