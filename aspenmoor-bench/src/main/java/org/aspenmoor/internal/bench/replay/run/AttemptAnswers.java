package org.aspenmoor.internal.bench.replay.run;

import java.time.Duration;
import org.aspenmoor.internal.bench.policy.engine.EventLoop;
import org.aspenmoor.internal.bench.replay.engine.EngineAnswers;
import org.aspenmoor.internal.bench.replay.engine.EngineJob;
import org.aspenmoor.internal.bench.replay.engine.ModelEngine;
import org.aspenmoor.internal.serving.AssignedWork;
import org.aspenmoor.internal.serving.BackendServer;
import org.aspenmoor.internal.serving.ReportedLoad;
import org.aspenmoor.internal.serving.WorkKind;

/** One attempt of a request at an engine: what the engine says, a way later, and what the placement learns of it. */
final class AttemptAnswers implements EngineAnswers {
    private final EntryRequest request;
    private final ReplayEntry entry;
    private final BackendServer server;
    private final WorkKind kind;
    private final AssignedWork work;
    private EngineJob job;
    private long lastEventAt;
    private boolean begun;
    private boolean over;

    AttemptAnswers(EntryRequest request, ReplayEntry entry, BackendServer server, WorkKind kind, AssignedWork work) {
        this.request = request;
        this.entry = entry;
        this.server = server;
        this.kind = kind;
        this.work = work;
    }

    void sent(EngineJob sent) {
        job = sent;
    }

    @Override
    public void promptComputed() {
        later(() -> {
            began();
            end();
            request.promptComputed(server);
        });
    }

    @Override
    public void event() {
        later(() -> {
            if (begun) {
                Duration pause = Duration.ofNanos(loop().now() - lastEventAt);
                entry.placer().eventReceived(work, pause, loop().now());
            } else {
                began();
            }
            lastEventAt = loop().now();
            request.event(work);
        });
    }

    @Override
    public void complete() {
        later(() -> {
            end();
            request.complete();
        });
    }

    @Override
    public void rejected() {
        later(() -> {
            entry.placer().attemptRejected(work, loop().now());
            end();
            request.rejected(server, kind);
        });
    }

    @Override
    public void lost() {
        later(() -> {
            entry.placer().serverUnreachable(work, loop().now());
            end();
            request.lost(kind);
        });
    }

    /** Drops the attempt: its caller has left. */
    void cancel() {
        if (!over) {
            end();
            ModelEngine engine = entry.engine(server);
            loop().after(ReplayRun.WAY_SECONDS, () -> engine.cancel(job));
        }
    }

    private void began() {
        begun = true;
        entry.placer().answerStarted(work, loop().now());
        ReportedLoad load = entry.engine(server).load();
        entry.placer().loadReported(work, load, loop().now());
    }

    private void end() {
        over = true;
        entry.placer().attemptEnded(work);
    }

    private void later(Runnable action) {
        loop().after(ReplayRun.WAY_SECONDS, () -> {
            if (!over && !request.over()) {
                action.run();
            }
        });
    }

    private EventLoop loop() {
        return entry.loop();
    }
}
