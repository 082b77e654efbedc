package org.aspenmoor.internal.gateway.request;

import java.util.HashSet;
import java.util.Set;
import org.aspenmoor.internal.serving.BackendServer;

/** The servers that one request was tried at, which its next placement avoids. */
final class TriedServers {
    /** Engines at which a prompt may be computed ahead of its answer; with more the time is better spent on the answer. */
    private static final int MOST_STAGED_TRIES = 2;

    private final Set<String> identities = new HashSet<>();
    private int failedStages;

    void add(BackendServer server) {
        identities.add(server.id());
    }

    /** Notes that a server has not computed the prompt. */
    void stageFailed(BackendServer server) {
        add(server);
        failedStages++;
    }

    Set<String> identities() {
        return identities;
    }

    /** Returns whether the prompt may be computed ahead of the answer once more. */
    boolean mayStage() {
        return failedStages < MOST_STAGED_TRIES;
    }
}
