package org.aspenmoor.internal.serving;

import java.util.List;

/**
 * How long a request to a plain service takes at each of the candidate servers, if servers of the service state their
 * speed. A request waits at a server only if all slots there are occupied.
 *
 * <p>A server without a recent statement is expected to be at its usual speed, and one without answers to be as fast as
 * the average of the others, so that neither is avoided or preferred for that.
 */
final class PlainWork {
    private final PeerLoads peerLoads;
    private final long now;
    private final double typicalSlowdown;

    PlainWork(List<ServerEstimate> candidates, PeerLoads peerLoads, long now) {
        this.peerLoads = peerLoads;
        this.now = now;
        this.typicalSlowdown = Math.exp(candidates.stream()
                .flatMap(each -> each.knownSpeed().learned(now).stream())
                .mapToDouble(learned -> Math.log(learned.factor()))
                .average()
                .orElse(0));
    }

    /** Returns how long the server works on the request, in seconds. */
    double workSeconds(ServerEstimate server) {
        return ServerRanking.PLAIN_WORK_SECONDS
                * server.knownSpeed().learnedSlowdown(typicalSlowdown, now)
                * server.statedSlowdown(now);
    }

    /** Returns how long the request waits for a slot, in seconds. */
    double queueSeconds(ServerEstimate server) {
        int slots = Math.max(1, server.server().slots());
        double requests = server.requests(peerLoads.onServer(server.server().id()), now);
        double waitSeconds = Math.max(0, requests + 1 - slots) / slots * workSeconds(server);
        return Math.max(waitSeconds, server.overdueSeconds(now));
    }

    /** Returns how long it takes until the answer starts, in seconds. */
    double answerSeconds(ServerEstimate server) {
        return queueSeconds(server) + workSeconds(server);
    }
}
