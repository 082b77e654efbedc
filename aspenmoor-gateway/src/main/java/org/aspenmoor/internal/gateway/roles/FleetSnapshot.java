package org.aspenmoor.internal.gateway.roles;

import java.util.List;
import org.aspenmoor.internal.serving.ServiceLoad;

/**
 * The part of the event loop's state that the role worker needs.
 *
 * @param services the load on the engines of each service that runs a model
 * @param idle whether neither this entry nor any entry it receives reports from has had a request for a while
 * @param orderDuty this entry's part in giving orders
 */
public record FleetSnapshot(List<ServiceLoad> services, boolean idle, OrderDuty orderDuty) {
    public FleetSnapshot {
        services = List.copyOf(services);
    }
}
