package org.aspenmoor.internal.gateway.request;

import java.util.HashSet;
import java.util.Set;
import org.aspenmoor.internal.serving.BackendServer;

/** The servers that one request was sent to, which its next placement avoids. */
final class TriedServers {
    /**
     * Maximum number of separate prefill attempts; after that, the time is better spent on a single engine doing both
     * stages.
     */
    private static final int MOST_STAGED_TRIES = 2;

    private final Set<String> identities = new HashSet<>();
    private int failedStages;

    void add(BackendServer server) {
        identities.add(server.id());
    }

    /** Records that the prefill at a server failed. */
    void stageFailed(BackendServer server) {
        add(server);
        failedStages++;
    }

    Set<String> identities() {
        return identities;
    }

    /** Returns whether another separate prefill may be attempted. */
    boolean mayStage() {
        return failedStages < MOST_STAGED_TRIES;
    }
}
