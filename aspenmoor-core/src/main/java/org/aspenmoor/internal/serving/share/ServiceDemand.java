package org.aspenmoor.internal.serving.share;

import java.util.List;

/**
 * The recent demand for one service as measured by one entry; rates are in work per second.
 *
 * @param service the service
 * @param organisations the demand of each organisation that has recently asked for something
 * @param completedPerSecond the work of requests whose answers started
 * @param turnedAwayPerSecond the work of admitted requests that were refused because no server had room
 */
public record ServiceDemand(
        String service, List<OrganisationDemand> organisations, double completedPerSecond, double turnedAwayPerSecond) {
    public ServiceDemand {
        organisations = List.copyOf(organisations);
    }
}
