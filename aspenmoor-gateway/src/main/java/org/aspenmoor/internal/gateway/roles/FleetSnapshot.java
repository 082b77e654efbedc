package org.aspenmoor.internal.gateway.roles;

import java.util.List;
import org.aspenmoor.internal.serving.ServiceLoad;

/**
 * What the role duty needs to know of the event loop's state.
 *
 * @param services what the engines of each service that runs a model do
 * @param idle whether neither this entry nor another it hears has had a request for a while
 * @param first whether this entry's name is the first among those that are heard, so that orders are its task
 */
public record FleetSnapshot(List<ServiceLoad> services, boolean idle, boolean first) {
    public FleetSnapshot {
        services = List.copyOf(services);
    }
}
