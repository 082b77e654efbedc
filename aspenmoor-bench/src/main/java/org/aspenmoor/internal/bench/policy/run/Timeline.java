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

/** Records the work mix, the roles and the goodput over time. */
final class Timeline {
    static final double INTERVAL_SECONDS = 2;

    private final EngineSpeed speed;
    private final int maxSequences;
    private final List<TimelinePoint> points = new ArrayList<>();
    private double prefillSeconds;
    private double decodeSeconds;
    private double previousGoodput;

    Timeline(Fleet fleet) {
        this.speed = fleet.parameters().speed();
        this.maxSequences = fleet.parameters().maxSequences();
    }

    void arrived(TraceRequest request) {
        prefillSeconds += speed.prefillSeconds(request.promptTokens());
        decodeSeconds += request.outputTokens() * speed.stepSeconds(maxSequences) / maxSequences;
    }

    void addPoint(double nowSeconds, Collection<FakeEngine> engines, double weightedGoodput) {
        double totalSeconds = prefillSeconds + decodeSeconds;
        points.add(new TimelinePoint(
                nowSeconds,
                totalSeconds > 0 ? prefillSeconds / totalSeconds : 0,
                readyEngines(engines, EngineRole.PREFILL),
                readyEngines(engines, EngineRole.DECODE),
                readyEngines(engines, EngineRole.WHOLE),
                (weightedGoodput - previousGoodput) / INTERVAL_SECONDS));
        prefillSeconds = 0;
        decodeSeconds = 0;
        previousGoodput = weightedGoodput;
    }

    List<TimelinePoint> points() {
        return points;
    }

    private static int readyEngines(Collection<FakeEngine> engines, EngineRole role) {
        return (int) engines.stream()
                .filter(engine -> engine.state() == EngineState.READY && engine.role() == role)
                .count();
    }
}
