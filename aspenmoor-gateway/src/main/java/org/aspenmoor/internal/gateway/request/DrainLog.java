package org.aspenmoor.internal.gateway.request;

import org.aspenmoor.internal.gateway.log.DecisionLog;
import org.aspenmoor.internal.serving.BackendServer;
import org.aspenmoor.internal.serving.DrainStatement;
import org.aspenmoor.internal.serving.quarantine.ServerIncarnation;

/** Logs what becomes known of servers that announce in their answers that they are draining. */
final class DrainLog {
    private final DecisionLog log;
    private final OncePerIncarnation unreadable = new OncePerIncarnation();

    DrainLog(DecisionLog log) {
        this.log = log;
    }

    /**
     * Logs that a server has announced that it is draining.
     *
     * @param reportedBy the entry that has reported it; empty if the server told this entry
     */
    void announced(ServerIncarnation server, String reportedBy) {
        log.notable("server-drain-announced")
                .with("server", server.serverId())
                .with("startedAt", server.startedAt())
                .with("reportedBy", reportedBy)
                .write();
    }

    /** Logs a statement that is not understood; once for each incarnation, since each of its answers may have it. */
    void unreadable(BackendServer server, DrainStatement.Unreadable statement) {
        if (!unreadable.first(server)) {
            return;
        }
        log.notable("server-drain-unreadable")
                .with("server", server.id())
                .with("stated", statement.text())
                .write();
    }
}
