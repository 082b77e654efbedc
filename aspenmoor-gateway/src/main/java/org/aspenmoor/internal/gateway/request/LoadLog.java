package org.aspenmoor.internal.gateway.request;

import org.aspenmoor.internal.gateway.log.DecisionLog;
import org.aspenmoor.internal.serving.BackendServer;

/** Logs that servers state their slowdown, and what is wrong with the load that they state. */
final class LoadLog {
    private final DecisionLog log;
    private final OncePerIncarnation stating = new OncePerIncarnation();
    private final UnreadableStatementLog unreadableLog;

    LoadLog(DecisionLog log) {
        this.log = log;
        this.unreadableLog = new UnreadableStatementLog(log, "server-load-unreadable");
    }

    /** Logs the first slowdown that an incarnation states. */
    void stated(BackendServer server, double slowdown) {
        if (!stating.first(server)) {
            return;
        }
        log.notable("server-states-slowdown")
                .with("server", server.id())
                .with("service", server.service())
                .with("slowdown", String.valueOf(slowdown))
                .write();
    }

    /** Logs a statement with a figure that is discarded. */
    void unreadable(BackendServer server, String text) {
        unreadableLog.write(server, text);
    }
}
