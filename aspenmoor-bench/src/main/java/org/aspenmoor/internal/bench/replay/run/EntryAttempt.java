package org.aspenmoor.internal.bench.replay.run;

import java.time.Duration;
import org.aspenmoor.internal.bench.policy.engine.EventLoop;
import org.aspenmoor.internal.bench.replay.engine.EngineJob;
import org.aspenmoor.internal.bench.replay.engine.EngineJobListener;
import org.aspenmoor.internal.bench.replay.engine.SimulatedEngine;
import org.aspenmoor.internal.serving.AssignedWork;
import org.aspenmoor.internal.serving.BackendServer;
import org.aspenmoor.internal.serving.ReportedLoad;
import org.aspenmoor.internal.serving.WorkKind;

/**
 * One attempt of a request at an engine. Passes what the engine sends, after the network delay, to the placement policy
 * and the request.
 */
final class EntryAttempt implements EngineJobListener {
    private final ReplayRequest request;
    private final ReplayEntry entry;
    private final BackendServer server;
    private final WorkKind workKind;
    private final AssignedWork work;
    private EngineJob job;
    private long lastEventAt;
    private boolean answerStarted;
    private boolean ended;

    EntryAttempt(ReplayRequest request, ReplayEntry entry, BackendServer server, WorkKind workKind, AssignedWork work) {
        this.request = request;
        this.entry = entry;
        this.server = server;
        this.workKind = workKind;
        this.work = work;
    }

    void assignJob(EngineJob assignedJob) {
        job = assignedJob;
    }

    @Override
    public void promptPrefilled() {
        afterNetworkDelay(() -> {
            recordStart();
            recordEnd();
            request.promptPrefilled(server);
        });
    }

    @Override
    public void eventSent() {
        afterNetworkDelay(() -> {
            if (answerStarted) {
                Duration interval = Duration.ofNanos(loop().now() - lastEventAt);
                entry.placementPolicy().eventReceived(work, interval, loop().now());
            } else {
                recordStart();
            }
            lastEventAt = loop().now();
            request.eventReceived(work);
        });
    }

    @Override
    public void answerCompleted() {
        afterNetworkDelay(() -> {
            recordEnd();
            request.answerCompleted();
        });
    }

    @Override
    public void rejected() {
        afterNetworkDelay(() -> {
            entry.placementPolicy().attemptRejected(work, loop().now());
            recordEnd();
            request.rejected(server, workKind);
        });
    }

    @Override
    public void lost() {
        afterNetworkDelay(() -> {
            entry.placementPolicy().serverUnreachable(work, loop().now());
            recordEnd();
            request.lost(workKind);
        });
    }

    /** Cancels the attempt; the engine drops the job after the network delay. */
    void cancel() {
        if (!ended) {
            recordEnd();
            SimulatedEngine engine = entry.engine(server);
            loop().after(ReplayRun.NETWORK_DELAY_SECONDS, () -> engine.cancel(job));
        }
    }

    private void recordStart() {
        answerStarted = true;
        entry.placementPolicy().answerStarted(work, loop().now());
        ReportedLoad load = entry.engine(server).load();
        entry.placementPolicy().loadReported(work, load, loop().now());
    }

    private void recordEnd() {
        ended = true;
        entry.placementPolicy().attemptEnded(work);
    }

    private void afterNetworkDelay(Runnable action) {
        loop().after(ReplayRun.NETWORK_DELAY_SECONDS, () -> {
            if (!ended && !request.ended()) {
                action.run();
            }
        });
    }

    private EventLoop loop() {
        return entry.loop();
    }
}
