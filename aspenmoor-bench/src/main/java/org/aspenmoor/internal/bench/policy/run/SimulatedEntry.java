package org.aspenmoor.internal.bench.policy.run;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.aspenmoor.RequestId;
import org.aspenmoor.internal.admission.AdmissionDecision;
import org.aspenmoor.internal.admission.AdmissionQueue;
import org.aspenmoor.internal.admission.AdmissionSettings;
import org.aspenmoor.internal.admission.DispatchDecision;
import org.aspenmoor.internal.admission.DispatchPolicy;
import org.aspenmoor.internal.admission.EvictedRequest;
import org.aspenmoor.internal.admission.LengthEstimate;
import org.aspenmoor.internal.admission.LengthEstimator;
import org.aspenmoor.internal.admission.WaitingRequest;
import org.aspenmoor.internal.bench.policy.engine.EngineJob;
import org.aspenmoor.internal.bench.policy.engine.EventLoop;
import org.aspenmoor.internal.bench.policy.engine.FakeEngine;
import org.aspenmoor.internal.bench.policy.fleet.Fleet;
import org.aspenmoor.internal.bench.policy.strategy.RoutingStrategy;
import org.aspenmoor.internal.planning.KindCount;
import org.aspenmoor.internal.planning.WorkCounts;
import org.aspenmoor.internal.routing.EngineSpeed;
import org.aspenmoor.internal.routing.RoutingDecision;
import org.aspenmoor.internal.routing.RoutingRequest;

/** A simulated entry: admission, routing and the counts sent to the planner. */
final class SimulatedEntry {
    static final String MODEL = "draft@1";
    private static final double RETRY_INTERVAL_SECONDS = 0.02;
    private static final long ROUTING_RETRY_NANOSECONDS = 10_000_000;

    /** Requests that all entries together may have at an engine, relative to its maximum number of sequences. */
    private static final double CREDIT_FACTOR = 1.1;

    private final String name;
    private final Fleet fleet;
    private final EventLoop loop;
    private final RoutingStrategy routing;
    private final Map<String, FakeEngine> engines;
    private final RunCounters counters;
    private final int credit;
    private final AdmissionQueue queue;
    private final DispatchPolicy dispatch = DispatchPolicy.defaults();
    private final LengthEstimator lengths = new LengthEstimator();
    private final Map<RequestId, SimulatedRequest> queuedRequests = new HashMap<>();
    private final Map<RequestId, RoutingDecision> sentDecisions = new HashMap<>();
    private final Map<RequestId, Optional<String>> prefillEngines = new HashMap<>();
    private final Map<String, Integer> outstanding = new HashMap<>();
    private final Map<String, KindCount> countsByKind = new TreeMap<>();
    private long countsFrom;
    private long countsSequence;
    private boolean retryScheduled;
    private RequestId blockedRequest;
    private long routingRetryAt;

    SimulatedEntry(
            String name,
            Fleet fleet,
            EventLoop loop,
            RoutingStrategy routing,
            Map<String, FakeEngine> engines,
            RunCounters counters) {
        this.name = name;
        this.fleet = fleet;
        this.loop = loop;
        this.routing = routing;
        this.engines = engines;
        this.counters = counters;
        this.credit = (int) Math.ceil(CREDIT_FACTOR * fleet.parameters().maxSequences() / fleet.entries());
        this.queue = new AdmissionQueue(
                AdmissionSettings.defaults((double) fleet.engines().size() / fleet.entries()));
    }

    RoutingStrategy routing() {
        return routing;
    }

    void requestArrived(SimulatedRequest request) {
        counters.arrived(request);
        LengthEstimate estimate = lengths.estimate(request.kind(), request.longestOutputTokens());
        long uncachedTokens = Math.round(request.promptTokens() * (1 - estimate.cachedFraction()));
        countsByKind.merge(
                request.kind(),
                new KindCount(request.kind(), 1, uncachedTokens, Math.round(estimate.outputTokens()), 0),
                SimulatedEntry::sum);
        offer(request);
    }

    void offer(SimulatedRequest request) {
        queuedRequests.put(request.id(), request);
        AdmissionDecision decision = queue.offer(waitingWork(request), loop.now());
        if (decision instanceof AdmissionDecision.Refused) {
            refuse(request.id());
        }
        for (EvictedRequest displaced : queue.evict(loop.now())) {
            refuse(displaced.request().id());
        }
        dispatchQueued();
    }

    boolean owns(RequestId id) {
        return sentDecisions.containsKey(id);
    }

    /** Called at the first token of a request; an engine that only prefilled the prompt has completed its part. */
    void firstTokenReceived(EngineJob job) {
        prefillEngines.remove(job.id()).ifPresent(prefill -> outstanding.merge(prefill, -1, Integer::sum));
        dispatchQueued();
    }

    void attemptEnded(EngineJob job, SimulatedRequest request, boolean answered) {
        RoutingDecision decision = sentDecisions.remove(job.id());
        routing.requestEnded(job.id(), loop.now());
        outstanding.merge(decision.engine(), -1, Integer::sum);
        Optional<String> unfinishedPrefill = prefillEngines.remove(job.id());
        if (unfinishedPrefill != null) {
            unfinishedPrefill.ifPresent(prefill -> outstanding.merge(prefill, -1, Integer::sum));
        }
        job.decodeEngine().ifPresent(decodeEngine -> decodeEngine.cancelExpectedHandoff(job));
        if (answered) {
            lengths.observe(request.kind(), request.promptTokens(), request.cachedTokens(), request.outputTokens());
            counters.finished(request, loop.nowSeconds());
        } else {
            offer(request);
        }
        dispatchQueued();
    }

    WorkCounts takeCounts() {
        WorkCounts taken =
                new WorkCounts(name, countsSequence++, countsFrom, loop.now(), new ArrayList<>(countsByKind.values()));
        countsFrom = loop.now();
        countsByKind.clear();
        return taken;
    }

    void dispatchQueued() {
        while (true) {
            Optional<WaitingRequest> next = queue.next();
            if (next.isEmpty()) {
                return;
            }
            WaitingRequest work = next.get();
            if (work.id().equals(blockedRequest) && loop.now() < routingRetryAt) {
                scheduleRetry();
                return;
            }
            SimulatedRequest request = queuedRequests.get(work.id());
            RoutingRequest routingRequest = routingRequest(request, work);
            Optional<RoutingDecision> decision = routing.choose(routingRequest, this::hasCredit, loop.now());
            switch (dispatch.decide(work, decision, loop.now())) {
                case DispatchDecision.Send send -> send(work, routingRequest, send.decision());
                case DispatchDecision.Refuse giveUp -> {
                    queue.removeRefused(work, loop.now());
                    refuse(work.id());
                }
                case DispatchDecision.Wait wait -> {
                    blockedRequest = work.id();
                    routingRetryAt = loop.now() + ROUTING_RETRY_NANOSECONDS;
                    scheduleRetry();
                    return;
                }
            }
        }
    }

    private void send(WaitingRequest work, RoutingRequest routingRequest, RoutingDecision decision) {
        queue.markDispatched(work, loop.now());
        SimulatedRequest request = queuedRequests.remove(work.id());
        request.sentWithCached(decision.cachedTokens());
        routing.requestSent(routingRequest, decision, loop.now());
        sentDecisions.put(request.id(), decision);
        outstanding.merge(decision.engine(), 1, Integer::sum);
        prefillEngines.put(request.id(), decision.prefillEngine());
        decision.prefillEngine().ifPresent(prefill -> outstanding.merge(prefill, 1, Integer::sum));
        EngineJob job = new EngineJob(
                request.id(),
                request.weight(),
                request.promptTokens(),
                request.outputTokens(),
                request.prefix(),
                decision.prefillEngine().map(prefill -> engines.get(decision.engine())),
                request.deadlineSeconds() - work.serviceSeconds());
        job.decodeEngine().ifPresent(decodeEngine -> decodeEngine.expectHandoff(job));
        FakeEngine engine = engines.get(decision.engineForPrefill());
        loop.after(0.0005, () -> engine.submit(job));
    }

    private boolean hasCredit(String backend) {
        return outstanding.getOrDefault(backend, 0) < credit;
    }

    private void refuse(RequestId id) {
        counters.refused(queuedRequests.remove(id), loop.nowSeconds());
    }

    private void scheduleRetry() {
        if (!retryScheduled) {
            retryScheduled = true;
            loop.after(RETRY_INTERVAL_SECONDS, () -> {
                retryScheduled = false;
                dispatchQueued();
            });
        }
    }

    private WaitingRequest waitingWork(SimulatedRequest request) {
        LengthEstimate estimate = lengths.estimate(request.kind(), request.longestOutputTokens());
        EngineSpeed speed = fleet.parameters().speed();
        int batch = fleet.parameters().maxSequences();
        double prefillSeconds = speed.prefillSeconds(request.promptTokens() * (1 - estimate.cachedFraction()));
        double decodeSeconds = estimate.outputTokens() * speed.stepSeconds(batch);
        return new WaitingRequest(
                request.id(),
                request.team(),
                request.kind(),
                request.weight(),
                request.deadlineNanoseconds(),
                prefillSeconds + decodeSeconds / batch,
                prefillSeconds + decodeSeconds);
    }

    private RoutingRequest routingRequest(SimulatedRequest request, WaitingRequest work) {
        LengthEstimate estimate = lengths.estimate(request.kind(), request.longestOutputTokens());
        return new RoutingRequest(
                request.id(),
                MODEL,
                Optional.empty(),
                request.promptTokens(),
                request.prefix(),
                (int) Math.round(estimate.outputTokens()),
                work.weight(),
                work.deadlineNanoseconds(),
                fleet.engines().getFirst().dataCentre());
    }

    private static KindCount sum(KindCount one, KindCount other) {
        return new KindCount(
                one.kind(),
                one.requests() + other.requests(),
                one.promptTokens() + other.promptTokens(),
                one.outputTokens() + other.outputTokens(),
                one.refused() + other.refused());
    }
}
