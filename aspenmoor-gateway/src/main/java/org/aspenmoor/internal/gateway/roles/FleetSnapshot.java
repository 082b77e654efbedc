package org.aspenmoor.internal.gateway.roles;

import java.util.List;
import org.aspenmoor.internal.serving.BackendServer;

/**
 * What the role duty needs to know of the event loop's state.
 *
 * @param enginesByService the engines of each service that runs a model
 * @param idle whether neither this entry nor another it hears has had a request for a while
 * @param first whether this entry's name is the first among those that are heard, so that orders are its task
 */
public record FleetSnapshot(List<List<BackendServer>> enginesByService, boolean idle, boolean first) {
    public FleetSnapshot {
        enginesByService = List.copyOf(enginesByService);
    }
}
