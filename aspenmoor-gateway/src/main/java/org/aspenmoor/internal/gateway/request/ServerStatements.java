package org.aspenmoor.internal.gateway.request;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;
import org.aspenmoor.internal.gateway.backend.AnswerIrregularity;
import org.aspenmoor.internal.gateway.backend.IrregularAnswer;
import org.aspenmoor.internal.gateway.backend.ServerObserver;
import org.aspenmoor.internal.gateway.log.DecisionLog;
import org.aspenmoor.internal.gateway.protocol.AnswerMetadata;
import org.aspenmoor.internal.serving.BackendDirectory;
import org.aspenmoor.internal.serving.BackendServer;
import org.aspenmoor.internal.serving.BackoffStatement;
import org.aspenmoor.internal.serving.DrainStatement;
import org.aspenmoor.internal.serving.PeerReport;
import org.aspenmoor.internal.serving.PlacementPolicy;
import org.aspenmoor.internal.serving.ReportedLoad;
import org.aspenmoor.internal.serving.limit.ServerLimits;
import org.aspenmoor.internal.serving.quarantine.ServerIncarnation;
import org.aspenmoor.internal.time.TimeSource;

/**
 * Applies what servers state about themselves in the heads of their answers, and what other entries report of it.
 * Confined to the event loop.
 */
final class ServerStatements implements ServerObserver {
    private final BackendDirectory directory;
    private final ServerLimits limits;
    private final PlacementPolicy placement;
    private final TimeSource time;
    private final Consumer<BackendServer> changeListener;
    private final LimitLog limitLog;
    private final DrainLog drainLog;
    private final BackoffLog backoffLog;
    private final LoadLog loadLog;
    private final IrregularAnswerLog irregularAnswerLog;

    /**
     * Creates an instance.
     *
     * @param changeListener notified of each server that is draining from now on
     */
    ServerStatements(
            BackendDirectory directory,
            ServerLimits limits,
            PlacementPolicy placement,
            TimeSource time,
            Consumer<BackendServer> changeListener,
            DecisionLog log) {
        this.directory = directory;
        this.limits = limits;
        this.placement = placement;
        this.time = time;
        this.changeListener = changeListener;
        this.limitLog = new LimitLog(log);
        this.drainLog = new DrainLog(log);
        this.backoffLog = new BackoffLog(log);
        this.loadLog = new LoadLog(log);
        this.irregularAnswerLog = new IrregularAnswerLog(log);
    }

    @Override
    public Optional<String> callRefusal(BackendServer server) {
        Duration pause = placement.backoffs().remaining(server.id(), time.monotonicNanos());
        return pause.isZero() || !isCurrent(server)
                ? Optional.empty()
                : Optional.of("the server wants nothing from this entry for " + pause.toMillis() + " ms");
    }

    @Override
    public void callSent(BackendServer server) {
        limits.sent(server.id(), time.monotonicNanos());
    }

    @Override
    public void answerReceived(BackendServer server, AnswerMetadata metadata, long sentAt) {
        if (!isCurrent(server)) {
            return;
        }
        limitLog.stated(server.id(), limits.stated(server.id(), metadata.limit(), sentAt, time.monotonicNanos()));
        drainStated(server, metadata.drain());
        backoffStated(server, metadata.backoff());
        metadata.load().ifPresent(load -> loadStated(server, load));
    }

    @Override
    public void irregularAnswerReceived(BackendServer server, IrregularAnswer answer) {
        irregularAnswerLog.received(server, answer);
    }

    /** Returns how many irregular answers have been received since the start. */
    long irregularAnswers(AnswerIrregularity kind) {
        return irregularAnswerLog.count(kind);
    }

    private void loadStated(BackendServer server, ReportedLoad load) {
        load.slowdown().ifPresent(slowdown -> {
            placement.knownSpeeds().stated(server, slowdown, time.monotonicNanos());
            loadLog.stated(server, slowdown);
        });
        load.unreadable().ifPresent(text -> loadLog.unreadable(server, text));
    }

    private void backoffStated(BackendServer server, BackoffStatement statement) {
        switch (statement) {
            case BackoffStatement.Missing missing -> {}
            case BackoffStatement.Requested requested -> {
                if (placement.backoffs().requested(server.id(), requested.pause(), time.monotonicNanos())) {
                    backoffLog.begun(server, requested);
                }
            }
            case BackoffStatement.Unreadable unreadable -> backoffLog.unreadable(server, unreadable);
        }
    }

    private void drainStated(BackendServer server, DrainStatement statement) {
        switch (statement) {
            case DrainStatement.Missing missing -> {}
            case DrainStatement.Draining draining -> drainAnnounced(ServerIncarnation.of(server), "");
            case DrainStatement.Unreadable unreadable -> drainLog.unreadable(server, unreadable);
        }
    }

    private void drainAnnounced(ServerIncarnation incarnation, String reportedBy) {
        if (directory.drainAnnounced(incarnation)) {
            drainLog.announced(incarnation, reportedBy);
            directory.find(incarnation.serverId()).ifPresent(changeListener);
        }
    }

    /** Applies what another entry reports. */
    void reported(PeerReport report, long now) {
        report.limits()
                .forEach(limit ->
                        limitLog.reported(limit.server(), report.entry(), limits.reported(report.entry(), limit, now)));
        placement.knownSpeeds().reported(report.entry(), report.measurements().serverSpeeds(), now);
        placement.knownSpeeds().loadReported(report.loads(), now);
        report.drainingServers().forEach(server -> drainAnnounced(server, report.entry()));
    }

    /** Returns whether this incarnation is the one that is registered; another one may have its id by now. */
    private boolean isCurrent(BackendServer server) {
        return directory
                .find(server.id())
                .filter(known -> known.sameIncarnation(server))
                .isPresent();
    }
}
