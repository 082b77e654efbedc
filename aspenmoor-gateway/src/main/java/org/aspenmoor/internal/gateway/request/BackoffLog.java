package org.aspenmoor.internal.gateway.request;

import org.aspenmoor.internal.gateway.log.DecisionLog;
import org.aspenmoor.internal.serving.BackendServer;
import org.aspenmoor.internal.serving.BackoffStatement;

/** Logs the pauses that servers ask this entry for. */
final class BackoffLog {
    private final DecisionLog log;
    private final OncePerIncarnation unreadable = new OncePerIncarnation();

    BackoffLog(DecisionLog log) {
        this.log = log;
    }

    /** Logs that a pause begins. */
    void begun(BackendServer server, BackoffStatement.Requested statement) {
        log.notable("server-backoff")
                .with("server", server.id())
                .with("service", server.service())
                .with("pauseMs", statement.pause().toMillis())
                .write();
    }

    /** Logs a statement that is not understood; once for each incarnation, since each of its answers may have it. */
    void unreadable(BackendServer server, BackoffStatement.Unreadable statement) {
        if (!unreadable.first(server)) {
            return;
        }
        log.notable("server-backoff-unreadable")
                .with("server", server.id())
                .with("stated", statement.text())
                .write();
    }
}
