package org.aspenmoor.internal.entry;

import java.util.List;
import java.util.Optional;

/** Chooses where a request goes. */
interface BackendChooser {
    /** Chooses among the backend servers that take work and have credit. */
    Optional<AgentPeer> choose(ActiveRequest request, List<AgentPeer> candidates, long now);
}
