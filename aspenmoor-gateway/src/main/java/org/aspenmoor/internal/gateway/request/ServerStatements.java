package org.aspenmoor.internal.gateway.request;

import org.aspenmoor.internal.gateway.backend.ServerObserver;
import org.aspenmoor.internal.gateway.log.DecisionLog;
import org.aspenmoor.internal.gateway.protocol.AnswerMetadata;
import org.aspenmoor.internal.serving.BackendDirectory;
import org.aspenmoor.internal.serving.BackendServer;
import org.aspenmoor.internal.serving.PeerReport;
import org.aspenmoor.internal.serving.limit.ServerLimits;
import org.aspenmoor.internal.time.TimeSource;

/**
 * Applies what servers state about themselves in the heads of their answers, and what other entries report of it.
 * Confined to the event loop.
 */
final class ServerStatements implements ServerObserver {
    private final BackendDirectory directory;
    private final ServerLimits limits;
    private final TimeSource time;
    private final LimitLog limitLog;

    ServerStatements(BackendDirectory directory, ServerLimits limits, TimeSource time, DecisionLog log) {
        this.directory = directory;
        this.limits = limits;
        this.time = time;
        this.limitLog = new LimitLog(log);
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
    }

    /** Applies what another entry reports. */
    void reported(PeerReport report, long now) {
        report.limits()
                .forEach(limit ->
                        limitLog.reported(limit.server(), report.entry(), limits.reported(report.entry(), limit, now)));
    }

    /** Returns whether this incarnation is the one that is registered; another one may have its id by now. */
    private boolean isCurrent(BackendServer server) {
        return directory
                .find(server.id())
                .filter(known -> known.sameIncarnation(server))
                .isPresent();
    }
}
