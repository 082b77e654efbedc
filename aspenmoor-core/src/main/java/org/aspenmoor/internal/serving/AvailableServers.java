package org.aspenmoor.internal.serving;

import java.util.List;
import java.util.Map;

/** Selects the servers that may serve a request at all, before load and what servers state are considered. */
final class AvailableServers {
    private final Map<String, ServerEstimate> estimates;

    /**
     * Creates an instance.
     *
     * @param estimates the known servers by id; changes to it are seen
     */
    AvailableServers(Map<String, ServerEstimate> estimates) {
        this.estimates = estimates;
    }

    /** Returns the servers that take work and may serve the request; {@code now} is the monotonic clock. */
    List<ServerEstimate> forRequest(PlacementRequest request, long now) {
        List<ServerEstimate> untried = estimates.values().stream()
                .filter(estimate ->
                        !request.excludedServers().contains(estimate.server().id()))
                .filter(estimate -> takesWork(estimate, request, now))
                .toList();
        boolean onlyTriedCanAnswer = request.version() instanceof VersionRequirement.Exactly
                && untried.stream().noneMatch(SendFilter::canAnswer);
        return onlyTriedCanAnswer ? triedToo(request, now) : ofStatedVersions(untried, request);
    }

    private static List<ServerEstimate> ofStatedVersions(List<ServerEstimate> servers, PlacementRequest request) {
        if (!(request.version() instanceof VersionRequirement.PreferablyShared shared)) {
            return servers;
        }
        List<ServerEstimate> stated = servers.stream()
                .filter(estimate -> shared.stated().contains(estimate.server().softwareVersion()))
                .toList();
        return stated.stream().anyMatch(SendFilter::canAnswer) ? stated : servers;
    }

    /** Returns the servers that take work and may serve a request that is open at another server. */
    List<ServerEstimate> othersForRequest(PlacementRequest request, AssignedWork open, long now) {
        return forRequest(request, now).stream()
                .filter(estimate -> !estimate.server().id().equals(open.server()))
                .toList();
    }

    /**
     * Returns the request as it is to be placed. A request for which only some servers of its service will do does not
     * wait at this entry: while those are full, it would keep back the others in the queue, whose servers have room.
     */
    PlacementRequest withoutQueueingIfSelective(PlacementRequest request) {
        if (!request.mayQueue() || !(request.version() instanceof VersionRequirement.Exactly)) {
            return request;
        }
        boolean selective = estimates.values().stream()
                .map(ServerEstimate::server)
                .anyMatch(server -> server.service().equals(request.service())
                        && !request.version().permits(server.softwareVersion()));
        return selective ? request.withoutQueueing() : request;
    }

    /**
     * Returns the servers, tried or not, that this entry has no reason to believe unreachable. If the only server of a
     * stream's version has broken the stream off, it is asked for the rest again, since no other one may write it.
     */
    private List<ServerEstimate> triedToo(PlacementRequest request, long now) {
        return estimates.values().stream()
                .filter(estimate -> takesWork(estimate, request, now))
                .filter(estimate -> !estimate.health().paused(now))
                .toList();
    }

    private static boolean takesWork(ServerEstimate estimate, PlacementRequest request, long now) {
        BackendServer server = estimate.server();
        return server.service().equals(request.service())
                && server.state() == BackendState.READY
                && !estimate.changingRole(now)
                && request.version().permits(server.softwareVersion());
    }
}
