package org.aspenmoor.internal.bench.policy.run;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import org.aspenmoor.internal.bench.policy.engine.EngineState;
import org.aspenmoor.internal.bench.policy.engine.FakeEngine;
import org.aspenmoor.internal.bench.policy.fleet.Fleet;
import org.aspenmoor.internal.bench.policy.trace.TraceRequest;
import org.aspenmoor.internal.engine.EngineRole;
import org.aspenmoor.internal.routing.EngineSpeed;

/** Notes mix, roles and goodput over time. */
final class Timeline {
    static final double INTERVAL_SECONDS = 2;

    private final EngineSpeed speed;
    private final int batch;
    private final List<TimelinePoint> points = new ArrayList<>();
    private double prefillWork;
    private double decodeWork;
    private double goodputBefore;

    Timeline(Fleet fleet) {
        this.speed = fleet.parameters().speed();
        this.batch = fleet.parameters().mostSequences();
    }

    void arrived(TraceRequest request) {
        prefillWork += speed.prefillSeconds(request.promptTokens());
        decodeWork += request.outputTokens() * speed.stepSeconds(batch) / batch;
    }

    void next(double nowSeconds, Collection<FakeEngine> engines, double weightedGoodput) {
        double work = prefillWork + decodeWork;
        points.add(new TimelinePoint(
                nowSeconds,
                work > 0 ? prefillWork / work : 0,
                ready(engines, EngineRole.PREFILL),
                ready(engines, EngineRole.DECODE),
                ready(engines, EngineRole.WHOLE),
                (weightedGoodput - goodputBefore) / INTERVAL_SECONDS));
        prefillWork = 0;
        decodeWork = 0;
        goodputBefore = weightedGoodput;
    }

    List<TimelinePoint> points() {
        return points;
    }

    private static int ready(Collection<FakeEngine> engines, EngineRole role) {
        return (int) engines.stream()
                .filter(engine -> engine.state() == EngineState.READY && engine.role() == role)
                .count();
    }
}
