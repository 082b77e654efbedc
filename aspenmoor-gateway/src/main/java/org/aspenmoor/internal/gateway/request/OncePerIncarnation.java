package org.aspenmoor.internal.gateway.request;

import java.util.HashSet;
import java.util.Set;
import org.aspenmoor.internal.serving.BackendServer;
import org.aspenmoor.internal.serving.quarantine.ServerIncarnation;

/** Tells whether something is seen of a server incarnation for the first time, so that it is logged only once. */
final class OncePerIncarnation {
    /** Bounds the memory; far fewer servers misbehave in the same way. */
    private static final int MAX_REMEMBERED = 64;

    private final Set<ServerIncarnation> seen = new HashSet<>();

    /** Returns true at the first call for an incarnation; false for all once too many are remembered. */
    boolean first(BackendServer server) {
        return seen.size() < MAX_REMEMBERED && seen.add(ServerIncarnation.of(server));
    }
}
