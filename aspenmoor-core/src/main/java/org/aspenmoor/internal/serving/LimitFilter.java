package org.aspenmoor.internal.serving;

import java.util.List;
import org.aspenmoor.internal.serving.limit.ServerLimits;

/** Keeps requests from servers whose stated limits leave no room for them. */
final class LimitFilter {
    private final ServerLimits limits;

    LimitFilter(ServerLimits limits) {
        this.limits = limits;
    }

    /** Returns the servers to which this entry may send a request now. */
    List<ServerEstimate> withinLimits(List<ServerEstimate> servers, long now) {
        return servers.stream()
                .filter(estimate -> limits.maySend(estimate.server().id(), now))
                .toList();
    }

    /**
     * Refuses a request that none of the servers within their limits can answer.
     *
     * @param available the servers that could answer without limits; may be empty
     */
    Placement refuse(String service, List<ServerEstimate> available, long now) {
        if (available.isEmpty()) {
            return new Placement.Refused(
                    "no backend server of service " + service + " is available", ServerRanking.NO_SERVER_RETRY_AFTER);
        }
        limits.refused(service, now);
        List<String> ids =
                available.stream().map(estimate -> estimate.server().id()).toList();
        return new Placement.Refused(
                "the limits of the backend servers of service " + service + " are used up",
                limits.untilNext(ids, now).orElse(ServerRanking.NO_SERVER_RETRY_AFTER));
    }
}
