package org.aspenmoor.internal.gateway.request;

import org.aspenmoor.internal.gateway.log.DecisionLog;
import org.aspenmoor.internal.serving.BackendServer;

/**
 * Logs statements of servers that are not understood; once for each incarnation, since each of its answers may have one.
 */
final class UnreadableStatementLog {
    private final DecisionLog log;
    private final String event;
    private final OncePerIncarnation logged = new OncePerIncarnation();

    /**
     * Creates a log.
     *
     * @param event the name of the logged event
     */
    UnreadableStatementLog(DecisionLog log, String event) {
        this.log = log;
        this.event = event;
    }

    /** Logs a statement, unless one of the same incarnation has been logged before. */
    void write(BackendServer server, String text) {
        if (logged.first(server)) {
            log.notable(event).with("server", server.id()).with("stated", text).write();
        }
    }
}
