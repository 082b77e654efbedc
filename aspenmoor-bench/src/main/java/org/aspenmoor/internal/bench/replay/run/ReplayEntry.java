package org.aspenmoor.internal.bench.replay.run;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.aspenmoor.internal.bench.policy.engine.EventLoop;
import org.aspenmoor.internal.bench.replay.engine.EngineJob;
import org.aspenmoor.internal.bench.replay.engine.ModelEngine;
import org.aspenmoor.internal.serving.AssignedPrompt;
import org.aspenmoor.internal.serving.BackendServer;
import org.aspenmoor.internal.serving.LearnedSpeed;
import org.aspenmoor.internal.serving.PeerLoads;
import org.aspenmoor.internal.serving.PeerReport;
import org.aspenmoor.internal.serving.PlacementPolicy;
import org.aspenmoor.internal.serving.PlacementSettings;
import org.aspenmoor.internal.serving.RoleChange;
import org.aspenmoor.internal.serving.ServiceLoad;
import org.aspenmoor.internal.serving.WaitQueue;

/** One entry: the decisions that serve, without input and output. */
final class ReplayEntry {
    /** How often the line is looked at while nothing ends. */
    private static final double LOOK_SECONDS = 0.01;

    private final String name;
    private final EventLoop loop;
    private final Map<String, ModelEngine> engines;
    private final Set<Mechanism> off;
    private final Callers callers;
    private final RandomGenerator random;
    private final PeerLoads peers = new PeerLoads();
    private final PlacementPolicy placer;
    private final WaitQueue<EntryRequest> line = new WaitQueue<>();
    private long reports;
    private long jobs;
    private boolean looking;
    private boolean moving;

    ReplayEntry(
            String name,
            EventLoop loop,
            Map<String, ModelEngine> engines,
            PlacementSettings settings,
            Set<Mechanism> off,
            Callers callers,
            RandomGenerator random) {
        this.name = name;
        this.loop = loop;
        this.engines = engines;
        this.off = off;
        this.callers = callers;
        this.random = random;
        this.placer = new PlacementPolicy(settings, peers, random);
    }

    /** Takes a request of a caller. */
    void serve(CallerAsk ask) {
        new EntryRequest(this, ask).start();
    }

    /** Learns of a server, or of its changed role. */
    void know(BackendServer server, int cacheTokens) {
        placer.serverChanged(server, cacheTokens);
    }

    /** Learns that an engine has been told to change its role. */
    void changing(RoleChange change) {
        placer.roleChangeOrdered(change, loop.now());
    }

    void forget(String server) {
        placer.serverRemoved(server);
    }

    PeerReport report() {
        reports++;
        List<AssignedPrompt> prompts = placer.takeUnreportedPrompts();
        List<LearnedSpeed> speeds = placer.learnedSpeeds();
        placer.samplePromptLoad(ReplayRun.SERVICE, line.size() > 0, loop.now());
        return new PeerReport(
                name,
                0,
                reports,
                without(Mechanism.PEER_LOADS) ? Map.of() : placer.ownLoads(loop.now()),
                without(Mechanism.PEER_PROMPTS) ? List.of() : prompts,
                without(Mechanism.PEER_SPEEDS) ? List.of() : speeds,
                placer.eventSizes(),
                List.of(),
                List.of(),
                false);
    }

    void hear(PeerReport report) {
        peers.receive(report, loop.now());
        report.prompts().forEach(prompt -> placer.promptAssignedByPeer(prompt, loop.now()));
        report.speeds().forEach(placer::speedReceived);
        report.eventSizes().forEach(placer::eventSizeReceived);
    }

    /** Returns how many requests wait here. */
    int waiting() {
        return line.size();
    }

    EventLoop loop() {
        return loop;
    }

    ServiceLoad serviceLoad() {
        return placer.serviceLoad(ReplayRun.SERVICE, loop.now());
    }

    PlacementPolicy placer() {
        return placer;
    }

    Callers callers() {
        return callers;
    }

    WaitQueue<EntryRequest> line() {
        return line;
    }

    boolean without(Mechanism mechanism) {
        return off.contains(mechanism);
    }

    /** Returns a pause with up to half of it added, so that refused callers do not return in one wave. */
    Duration spread(Duration pause) {
        return pause.plusNanos((long) (pause.toNanos() * random.nextDouble() / 2));
    }

    ModelEngine engine(BackendServer server) {
        return engines.get(server.id());
    }

    Optional<ModelEngine> engine(Optional<BackendServer> server) {
        return without(Mechanism.FETCHES) ? Optional.empty() : server.map(this::engine);
    }

    long nextJob() {
        jobs++;
        return loop.now() + jobs;
    }

    /** Sends a job on its way to an engine. */
    void send(ModelEngine engine, EngineJob job) {
        loop.after(ReplayRun.WAY_SECONDS, () -> engine.take(job));
    }

    void wait(WaitQueue.QueuedRequest<EntryRequest> waiting) {
        line.add(waiting);
        look();
        roomMayBe();
    }

    private void look() {
        if (looking) {
            return;
        }
        looking = true;
        loop.after(LOOK_SECONDS, () -> {
            looking = false;
            roomMayBe();
            if (line.size() > 0) {
                look();
            }
        });
    }

    /** Sends on who is next, as long as there is room. */
    void roomMayBe() {
        if (moving || line.size() == 0) {
            return;
        }
        moving = true;
        line.dispatchAndRefuse(loop::now, EntryRequest::giveUp, EntryRequest::goOn);
        moving = false;
    }
}
