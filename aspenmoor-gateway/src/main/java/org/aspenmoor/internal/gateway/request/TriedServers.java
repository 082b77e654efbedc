package org.aspenmoor.internal.gateway.request;

import java.util.HashSet;
import java.util.Set;
import org.aspenmoor.internal.serving.AssignedWork;
import org.aspenmoor.internal.serving.AttemptEnd;
import org.aspenmoor.internal.serving.BackendServer;

/** The servers that one request was sent to, which its next placement avoids. */
final class TriedServers {
    /**
     * Maximum number of separate prefill attempts; after that, the time is better spent on a single engine doing both
     * stages.
     */
    private static final int MAX_PREFILL_ATTEMPTS = 2;

    private final Set<String> ids = new HashSet<>();
    private int failedPrefills;

    void add(BackendServer server) {
        ids.add(server.id());
    }

    /** Records that the prefill at a server failed. */
    void prefillFailed(BackendServer server) {
        add(server);
        failedPrefills++;
    }

    /** Records how an attempt ended; a server to which nothing was sent, for a reason of this entry, may be tried again. */
    void attemptEnded(AssignedWork work, AttemptEnd end) {
        if (end instanceof AttemptEnd.Withheld) {
            ids.remove(work.server());
        }
    }

    Set<String> ids() {
        return ids;
    }

    /** Returns whether another separate prefill may be attempted. */
    boolean mayPrefill() {
        return failedPrefills < MAX_PREFILL_ATTEMPTS;
    }
}
