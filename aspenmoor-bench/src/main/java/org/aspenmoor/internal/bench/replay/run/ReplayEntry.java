package org.aspenmoor.internal.bench.replay.run;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import org.aspenmoor.internal.bench.policy.engine.EventLoop;
import org.aspenmoor.internal.bench.replay.engine.EngineJob;
import org.aspenmoor.internal.bench.replay.engine.SimulatedEngine;
import org.aspenmoor.internal.duty.OrderStanding;
import org.aspenmoor.internal.serving.AssignedPrompt;
import org.aspenmoor.internal.serving.BackendServer;
import org.aspenmoor.internal.serving.LearnedSpeed;
import org.aspenmoor.internal.serving.PeerLoads;
import org.aspenmoor.internal.serving.PeerMeasurements;
import org.aspenmoor.internal.serving.PeerReport;
import org.aspenmoor.internal.serving.PlacementPolicy;
import org.aspenmoor.internal.serving.PlacementSettings;
import org.aspenmoor.internal.serving.RoleChange;
import org.aspenmoor.internal.serving.WaitQueue;
import org.aspenmoor.internal.serving.entries.KnownEntries;
import org.aspenmoor.internal.serving.limit.ServerLimits;
import org.aspenmoor.internal.serving.roles.LoadBasedRolePolicy;
import org.aspenmoor.internal.serving.roles.PlannedRoleChange;

/** An entry of the replay: the scheduling decisions of a real entry, without network input and output. */
final class ReplayEntry {
    /** Interval at which the queue is checked while no request ends. */
    private static final double QUEUE_CHECK_SECONDS = 0.01;

    private final String name;
    private final EventLoop loop;
    private final Map<String, SimulatedEngine> engines;
    private final Set<Mechanism> disabled;
    private final CallerListener callerListener;
    private final RandomGenerator random;
    private final PeerLoads peerLoads = new PeerLoads();
    private final PlacementPolicy placementPolicy;
    private final WaitQueue<ReplayRequest> queue = new WaitQueue<>();
    private final LoadBasedRolePolicy rolePolicy = new LoadBasedRolePolicy();
    private boolean storeReached = true;
    private long lastFencingNumber;
    private long reportCount;
    private long jobCount;
    private boolean checkScheduled;
    private boolean dispatching;

    ReplayEntry(
            String name,
            EventLoop loop,
            Map<String, SimulatedEngine> engines,
            PlacementSettings settings,
            Set<Mechanism> disabled,
            CallerListener callerListener,
            RandomGenerator random) {
        this.name = name;
        this.loop = loop;
        this.engines = engines;
        this.disabled = disabled;
        this.callerListener = callerListener;
        this.random = random;
        this.placementPolicy = new PlacementPolicy(
                settings, peerLoads, new ServerLimits(new KnownEntries(name), new SplittableRandom(0)), random);
    }

    /** Serves an attempt of a caller. */
    void serve(CallerRequest request) {
        new ReplayRequest(this, request).start();
    }

    /** Records a new server, or the changed role of a known one. */
    void serverChanged(BackendServer server, int cacheTokens) {
        placementPolicy.serverChanged(server, cacheTokens);
    }

    /** Records that a role change of an engine was ordered. */
    void roleChangeOrdered(RoleChange change) {
        placementPolicy.roleChangeOrdered(change, loop.now());
    }

    void serverRemoved(String serverId) {
        placementPolicy.serverRemoved(serverId);
    }

    PeerReport nextReport() {
        reportCount++;
        List<AssignedPrompt> prompts = placementPolicy.promptAssignments().takeUnreported();
        List<LearnedSpeed> speeds = placementPolicy.learnedSpeeds();
        placementPolicy.samplePromptLoad(ReplayRun.SERVICE, queue.size() > 0, loop.now());
        return new PeerReport(
                name,
                0,
                reportCount,
                isDisabled(Mechanism.PEER_LOADS) ? Map.of() : placementPolicy.ownLoads(loop.now()),
                isDisabled(Mechanism.PEER_PROMPTS) ? List.of() : prompts,
                isDisabled(Mechanism.PEER_SPEEDS) ? List.of() : speeds,
                placementPolicy.eventSizes(),
                List.of(),
                List.of(),
                List.of(),
                List.of(),
                List.of(),
                Optional.empty(),
                orderStanding(),
                PeerMeasurements.NONE,
                false);
    }

    void receive(PeerReport report) {
        peerLoads.receive(report, loop.now());
        report.prompts().forEach(prompt -> placementPolicy.promptAssignments().assignedByPeer(prompt, loop.now()));
        report.speeds().forEach(placementPolicy::speedReceived);
        report.eventSizes().forEach(placementPolicy::eventSizeReceived);
    }

    String name() {
        return name;
    }

    /** Records whether this entry reaches the store. */
    void setStoreReached(boolean reached) {
        storeReached = reached;
    }

    boolean storeReached() {
        return storeReached;
    }

    /** Returns whether this entry has to order role changes. */
    boolean responsibleForOrders() {
        return storeReached && peerLoads.entriesPreceding(orderStanding()) == 0;
    }

    /** Records that this entry has got the lease for orders. */
    void orderLeaseAcquired(long fencingNumber) {
        lastFencingNumber = fencingNumber;
    }

    private OrderStanding orderStanding() {
        return new OrderStanding(name, storeReached, lastFencingNumber);
    }

    /** Returns the load-based role change that is due, if any. */
    Optional<PlannedRoleChange> nextRoleChange() {
        return rolePolicy.nextChange(placementPolicy.serviceLoad(ReplayRun.SERVICE, loop.now()));
    }

    /** Records that an engine has accepted an order of this entry. */
    void roleChangeAccepted() {
        rolePolicy.changeAccepted();
    }

    /** Returns the number of queued requests. */
    int queuedRequests() {
        return queue.size();
    }

    EventLoop loop() {
        return loop;
    }

    PlacementPolicy placementPolicy() {
        return placementPolicy;
    }

    CallerListener callerListener() {
        return callerListener;
    }

    WaitQueue<ReplayRequest> queue() {
        return queue;
    }

    boolean isDisabled(Mechanism mechanism) {
        return disabled.contains(mechanism);
    }

    /**
     * Returns a pause with up to half of it added at random, so that refused callers do not all retry at the same time.
     */
    Duration withJitter(Duration pause) {
        return pause.plusNanos((long) (pause.toNanos() * random.nextDouble() / 2));
    }

    SimulatedEngine engine(BackendServer server) {
        return engines.get(server.id());
    }

    Optional<SimulatedEngine> engine(Optional<BackendServer> server) {
        return isDisabled(Mechanism.FETCHES) ? Optional.empty() : server.map(this::engine);
    }

    long nextJobSequence() {
        jobCount++;
        return loop.now() + jobCount;
    }

    /** Sends a job to an engine; it arrives after the network delay. */
    void send(SimulatedEngine engine, EngineJob job) {
        loop.after(ReplayRun.NETWORK_DELAY_SECONDS, () -> engine.submit(job));
    }

    void enqueue(WaitQueue.QueuedRequest<ReplayRequest> request) {
        queue.add(request);
        scheduleQueueCheck();
        dispatchQueued();
    }

    private void scheduleQueueCheck() {
        if (checkScheduled) {
            return;
        }
        checkScheduled = true;
        loop.after(QUEUE_CHECK_SECONDS, () -> {
            checkScheduled = false;
            dispatchQueued();
            if (queue.size() > 0) {
                scheduleQueueCheck();
            }
        });
    }

    /** Dispatches queued requests as long as engines have room, and refuses those that cannot be served. */
    void dispatchQueued() {
        if (dispatching || queue.size() == 0) {
            return;
        }
        dispatching = true;
        queue.dispatchAndRefuse(loop::now, ReplayRequest::refuseFromQueue, ReplayRequest::dispatchFromQueue);
        dispatching = false;
    }
}
