package org.aspenmoor.internal.gateway.request;

import org.aspenmoor.internal.gateway.log.DecisionLog;
import org.aspenmoor.internal.serving.BackendServer;
import org.aspenmoor.internal.serving.DrainStatement;
import org.aspenmoor.internal.serving.quarantine.ServerIncarnation;

/** Logs what becomes known of servers that announce in their answers that they are draining. */
final class DrainLog {
    private final DecisionLog log;
    private final UnreadableStatementLog unreadableLog;

    DrainLog(DecisionLog log) {
        this.log = log;
        this.unreadableLog = new UnreadableStatementLog(log, "server-drain-unreadable");
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

    /** Logs a statement that is not understood. */
    void unreadable(BackendServer server, DrainStatement.Unreadable statement) {
        unreadableLog.write(server, statement.text());
    }
}
