package org.aspenmoor.internal.bench.policy.run;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.aspenmoor.RequestId;
import org.aspenmoor.internal.bench.policy.engine.EngineJob;
import org.aspenmoor.internal.bench.policy.engine.EngineListener;
import org.aspenmoor.internal.bench.policy.engine.EngineState;
import org.aspenmoor.internal.bench.policy.engine.EventLoop;
import org.aspenmoor.internal.bench.policy.engine.FakeEngine;
import org.aspenmoor.internal.bench.policy.fleet.Fleet;
import org.aspenmoor.internal.bench.policy.fleet.FleetEngine;
import org.aspenmoor.internal.bench.policy.fleet.TraceKind;
import org.aspenmoor.internal.bench.policy.trace.Trace;
import org.aspenmoor.internal.bench.policy.trace.TraceIncident;
import org.aspenmoor.internal.bench.policy.trace.TraceRequest;
import org.aspenmoor.internal.engine.EngineLoad;
import org.aspenmoor.internal.engine.EngineRole;
import org.aspenmoor.internal.planning.RoleChange;
import org.aspenmoor.internal.planning.RoleSplit;
import org.aspenmoor.internal.planning.WorkCounts;
import org.aspenmoor.internal.routing.CacheEvent;

/** A run of a trace on a fleet under a policy. */
public final class PolicyRun implements EngineListener {
    private static final double PLAN_INTERVAL_SECONDS = 1;
    private static final double PLAN_OFFSET_SECONDS = 0.3;
    private static final double COUNTS_LAG_SECONDS = 0.1;
    private static final double CACHE_EVENT_LAG_SECONDS = 0.2;
    private static final double MAX_DRAIN_SECONDS = 120;

    private final Fleet fleet;
    private final Trace trace;
    private final Policy policy;
    private final RandomGenerator random;
    private final EventLoop loop = new EventLoop();
    private final RunCounters counters;
    private final Timeline timeline;
    private final Map<String, FakeEngine> engines = new LinkedHashMap<>();
    private final Map<String, Long> cacheSequences = new HashMap<>();
    private final Map<String, TraceKind> kinds = new HashMap<>();
    private final Map<RequestId, SimulatedRequest> requests = new HashMap<>();
    private final List<SimulatedEntry> entries = new ArrayList<>();
    private double reportLagSeconds;

    public PolicyRun(Fleet fleet, Trace trace, Policy policy, RandomGenerator random) {
        this.fleet = fleet;
        this.trace = trace;
        this.policy = policy;
        this.random = random;
        this.counters = new RunCounters(fleet);
        this.timeline = new Timeline(fleet);
        this.reportLagSeconds = fleet.parameters().reportLagSeconds();
        fleet.kinds().forEach(kind -> kinds.put(kind.declaration().name(), kind));
    }

    /** Runs until all requests have ended, but at most until the drain limit after the end of the trace. */
    public RunResult run() {
        createEngines();
        createEntries();
        trace.requests().forEach(request -> loop.after(request.arrivalSeconds(), () -> requestArrived(request)));
        trace.incidents().forEach(incident -> loop.after(incident.atSeconds(), () -> applyIncident(incident)));
        engines.values().forEach(engine -> {
            report(engine, 0);
            loop.after(
                    random.nextDouble() * fleet.parameters().reportIntervalSeconds(), () -> reportPeriodically(engine));
        });
        loop.after(PLAN_INTERVAL_SECONDS, this::sendCounts);
        loop.after(PLAN_OFFSET_SECONDS, this::planRoles);
        loop.after(0, this::recordTimeline);
        loop.runUntil(trace.lengthSeconds());
        for (double drainSeconds = 1;
                drainSeconds <= MAX_DRAIN_SECONDS && counters.openRequests() > 0;
                drainSeconds++) {
            loop.runUntil(trace.lengthSeconds() + drainSeconds);
        }
        double awaySeconds =
                engines.values().stream().mapToDouble(FakeEngine::awaySeconds).sum();
        return counters.result(policy.name(), awaySeconds, timeline.points());
    }

    @Override
    public void firstToken(EngineJob job) {
        requests.get(job.id()).firstTokenReceived(loop.nowSeconds());
        entryOf(job).firstTokenReceived(job);
    }

    @Override
    public void answerCompleted(EngineJob job, FakeEngine engine) {
        entryOf(job).attemptEnded(job, requests.remove(job.id()), true);
    }

    @Override
    public void jobRejected(EngineJob job, FakeEngine engine) {
        entryOf(job).attemptEnded(job, requests.get(job.id()), false);
    }

    @Override
    public void jobLost(EngineJob job, FakeEngine engine) {
        entryOf(job).attemptEnded(job, requests.get(job.id()), false);
    }

    @Override
    public void stateChanged(FakeEngine engine) {
        report(engine, 0);
    }

    @Override
    public void cacheChanged(FakeEngine engine, CacheEvent event) {
        long sequence = cacheSequences.merge(engine.name(), 1L, Long::sum);
        for (SimulatedEntry entry : entries) {
            if (random.nextDouble() >= fleet.parameters().cacheEventLossFraction()) {
                loop.after(
                        CACHE_EVENT_LAG_SECONDS,
                        () -> entry.routing().cacheEventReceived(engine.name(), sequence, event));
            }
        }
    }

    @Override
    public Optional<FakeEngine> chooseHandoffTarget(FakeEngine source) {
        return engines.values().stream()
                .filter(engine -> engine != source && engine.state() == EngineState.READY)
                .filter(engine -> engine.role() != EngineRole.PREFILL)
                .min(Comparator.comparingInt(FakeEngine::runningSequences));
    }

    private SimulatedEntry entryOf(EngineJob job) {
        return entries.stream()
                .filter(entry -> entry.owns(job.id()))
                .findFirst()
                .orElseThrow();
    }

    private void createEngines() {
        RoleSplit initialSplit = policy.planning().initialSplit();
        int index = 0;
        for (FleetEngine engine : fleet.engines()) {
            EngineRole role = index < initialSplit.prefill()
                    ? EngineRole.PREFILL
                    : index < initialSplit.prefill() + initialSplit.decode() ? EngineRole.DECODE : EngineRole.WHOLE;
            engines.put(
                    engine.name(),
                    new FakeEngine(engine.name(), engine.dataCentre(), fleet.parameters(), role, loop, this));
            index++;
        }
    }

    private void createEntries() {
        for (int index = 0; index < fleet.entries(); index++) {
            SimulatedEntry entry = new SimulatedEntry(
                    "entry-" + index, fleet, loop, policy.routing().apply(index), engines, counters);
            engines.values().forEach(engine -> entry.routing().engineAdded(engine.name(), engine.dataCentre()));
            entries.add(entry);
        }
    }

    private void requestArrived(TraceRequest request) {
        SimulatedRequest arrived = new SimulatedRequest(
                RequestId.draw(random),
                request,
                kinds.get(request.kind()),
                fleet.parameters().pieceTokens());
        requests.put(arrived.id(), arrived);
        timeline.arrived(request);
        entries.get(random.nextInt(entries.size())).requestArrived(arrived);
    }

    private void applyIncident(TraceIncident incident) {
        List<FakeEngine> enginesByIndex = List.copyOf(engines.values());
        switch (incident) {
            case TraceIncident.Withdrawal withdrawal ->
                enginesByIndex.get(withdrawal.engine()).withdraw();
            case TraceIncident.Return returned ->
                enginesByIndex.get(returned.engine()).restore();
            case TraceIncident.ReportLag lag -> reportLagSeconds = lag.lagSeconds();
        }
    }

    private void reportPeriodically(FakeEngine engine) {
        report(engine, reportLagSeconds);
        loop.after(fleet.parameters().reportIntervalSeconds(), () -> reportPeriodically(engine));
    }

    private void report(FakeEngine engine, double lagSeconds) {
        EngineLoad load = engine.load();
        EngineRole role = engine.role();
        boolean ready = engine.state() == EngineState.READY;
        for (SimulatedEntry entry : entries) {
            loop.after(lagSeconds, () -> {
                entry.routing()
                        .loadReported(
                                engine.name(), load, role, ready, Set.of(SimulatedEntry.MODEL), lagSeconds, loop.now());
                entry.dispatchQueued();
            });
        }
    }

    private void sendCounts() {
        for (SimulatedEntry entry : entries) {
            WorkCounts counts = entry.takeCounts();
            loop.after(COUNTS_LAG_SECONDS, () -> policy.planning().observe(counts));
        }
        loop.after(PLAN_INTERVAL_SECONDS, this::sendCounts);
    }

    private void planRoles() {
        FleetView view = new FleetView(fleet, engines.values());
        for (RoleChange change : policy.planning().plan(view.input(), view.load(), loop.now())) {
            counters.roleChanged();
            engines.get(change.engine()).changeRole(change.to());
        }
        if (loop.nowSeconds() < trace.lengthSeconds()) {
            loop.after(PLAN_INTERVAL_SECONDS, this::planRoles);
        }
    }

    private void recordTimeline() {
        timeline.addPoint(loop.nowSeconds(), engines.values(), counters.weightedGoodput());
        if (loop.nowSeconds() < trace.lengthSeconds()) {
            loop.after(Timeline.INTERVAL_SECONDS, this::recordTimeline);
        }
    }
}
