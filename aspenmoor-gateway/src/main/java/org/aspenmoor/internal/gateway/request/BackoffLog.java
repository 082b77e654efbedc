package org.aspenmoor.internal.gateway.request;

import org.aspenmoor.internal.gateway.log.DecisionLog;
import org.aspenmoor.internal.serving.BackendServer;
import org.aspenmoor.internal.serving.BackoffStatement;

/** Logs the pauses that servers ask this entry for. */
final class BackoffLog {
    private final DecisionLog log;
    private final UnreadableStatementLog unreadableLog;

    BackoffLog(DecisionLog log) {
        this.log = log;
        this.unreadableLog = new UnreadableStatementLog(log, "server-backoff-unreadable");
    }

    /** Logs that a pause begins. */
    void begun(BackendServer server, BackoffStatement.Requested statement) {
        log.notable("server-backoff")
                .with("server", server.id())
                .with("service", server.service())
                .with("pauseMs", statement.pause().toMillis())
                .write();
    }

    /** Logs a statement that is not understood. */
    void unreadable(BackendServer server, BackoffStatement.Unreadable statement) {
        unreadableLog.write(server, statement.text());
    }
}
