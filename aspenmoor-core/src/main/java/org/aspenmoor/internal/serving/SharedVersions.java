package org.aspenmoor.internal.serving;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Which software versions are run by several of the servers that can answer a request. */
final class SharedVersions {
    private final Map<SoftwareVersion, Integer> answeringServers = new HashMap<>();

    /**
     * Counts the servers of each version, if the request prefers a version that several servers run.
     *
     * @param usable the servers that take the request
     */
    SharedVersions(PlacementRequest request, List<ServerEstimate> usable) {
        if (!(request.version() instanceof VersionRequirement.PreferablyShared)) {
            return;
        }
        for (ServerEstimate estimate : usable) {
            if (SendFilter.canAnswer(estimate)) {
                answeringServers.merge(estimate.server().softwareVersion(), 1, Integer::sum);
            }
        }
    }

    /**
     * Returns whether a server is the only one of its version that can answer, while another version has servers; false
     * if the request has no preference.
     */
    boolean isLonely(ServerEstimate estimate) {
        return answeringServers.size() > 1
                && SendFilter.canAnswer(estimate)
                && answeringServers.getOrDefault(estimate.server().softwareVersion(), 0) <= 1;
    }
}
