package org.aspenmoor.internal.serving.quarantine;

import org.aspenmoor.internal.serving.BackendServer;

/**
 * One start of a backend server. A server that starts again under its identity can be ended again.
 *
 * @param server the server's identity
 * @param startedAt when it started, in milliseconds since 1970
 */
public record ServerStart(String server, long startedAt) {
    /** Returns the start that a registration tells of. */
    public static ServerStart of(BackendServer server) {
        return new ServerStart(server.id(), server.startedAt());
    }
}
