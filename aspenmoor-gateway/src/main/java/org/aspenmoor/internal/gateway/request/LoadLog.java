package org.aspenmoor.internal.gateway.request;

import org.aspenmoor.internal.gateway.log.DecisionLog;
import org.aspenmoor.internal.serving.BackendServer;

/** Logs what is wrong with the load that servers state. */
final class LoadLog {
    private final DecisionLog log;
    private final OncePerIncarnation unreadable = new OncePerIncarnation();

    LoadLog(DecisionLog log) {
        this.log = log;
    }

    /** Logs a statement with a figure that is discarded; once for each incarnation, since each answer may have it. */
    void unreadable(BackendServer server, String text) {
        if (!unreadable.first(server)) {
            return;
        }
        log.notable("server-load-unreadable")
                .with("server", server.id())
                .with("stated", text)
                .write();
    }
}
