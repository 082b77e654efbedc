package org.aspenmoor.internal.serving.quarantine;

import org.aspenmoor.internal.serving.BackendServer;

/**
 * One incarnation of a backend server. A server that restarts under the same ID can terminate again.
 *
 * @param serverId the server's ID
 * @param startedAt start time in milliseconds since 1970
 */
public record ServerIncarnation(String serverId, long startedAt) {
    /** Returns the incarnation that a registration describes. */
    public static ServerIncarnation of(BackendServer server) {
        return new ServerIncarnation(server.id(), server.startedAt());
    }
}
