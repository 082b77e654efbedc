package org.aspenmoor.internal.serving;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * The prompts that engines have been assigned, and so will cache. Confined to one thread; times are nanoseconds of the
 * monotonic clock.
 */
public final class PromptAssignments {
    private static final double NANOSECONDS_PER_SECOND = 1e9;

    /**
     * Limit that keeps a report within one datagram; the other entries only lack a hint about the prompts beyond it.
     */
    private static final int MAX_UNREPORTED_PROMPTS = 24;

    private final Map<String, ServerEstimate> estimates;
    private final PeerLoads peerLoads;
    private final List<AssignedPrompt> unreported = new ArrayList<>();

    PromptAssignments(Map<String, ServerEstimate> estimates, PeerLoads peerLoads) {
        this.estimates = estimates;
        this.peerLoads = peerLoads;
    }

    /** Records that this entry has assigned a prompt to an engine, which will cache it. */
    public void assigned(BackendServer server, Prompt prompt, long now) {
        AssignedPrompt assigned = new AssignedPrompt(server.id(), prompt.parts());
        assignedByPeer(assigned, now);
        if (unreported.size() < MAX_UNREPORTED_PROMPTS) {
            unreported.add(assigned);
        }
    }

    /** Records that another entry has assigned a prompt to an engine. */
    public void assignedByPeer(AssignedPrompt assigned, long now) {
        ServerEstimate estimate = estimates.get(assigned.server());
        if (estimate != null) {
            double waitSeconds = estimate.waitSeconds(peerLoads.onServer(assigned.server()), now);
            estimate.cache().promptAssigned(assigned.parts(), now + (long) (waitSeconds * NANOSECONDS_PER_SECOND));
        }
    }

    /** Records the prompt parts that an engine reported as cached. */
    public void cacheReported(String server, List<PromptPart> parts, long now) {
        ServerEstimate estimate = estimates.get(server);
        if (estimate != null) {
            estimate.cache().promptAssigned(parts, now);
        }
    }

    /** Returns the prompts that this entry has assigned since the last call. */
    public List<AssignedPrompt> takeUnreported() {
        List<AssignedPrompt> taken = List.copyOf(unreported);
        unreported.clear();
        return taken;
    }
}
