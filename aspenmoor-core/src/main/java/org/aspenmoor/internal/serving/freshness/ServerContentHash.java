package org.aspenmoor.internal.serving.freshness;

import org.aspenmoor.internal.dissemination.StableHash;
import org.aspenmoor.internal.serving.BackendServer;

/** Hashes what an entry uses of a server's registration, which heartbeats do not change. */
public final class ServerContentHash {
    private ServerContentHash() {}

    /** Returns the hash, which is the same in every process. */
    public static long of(BackendServer server) {
        long hash = StableHash.of(server.id(), server.service());
        hash = StableHash.combine(hash, server.startedAt());
        hash = StableHash.combine(hash, StableHash.of(server.host()));
        hash = StableHash.combine(hash, server.port());
        hash = StableHash.combine(hash, StableHash.of(server.dataCentre()));
        hash = StableHash.combine(hash, StableHash.of(server.softwareVersion().name()));
        hash = StableHash.combine(hash, server.slots());
        hash = StableHash.combine(hash, StableHash.of(server.state().name()));
        return StableHash.combine(hash, StableHash.of(server.role().name()));
    }
}
