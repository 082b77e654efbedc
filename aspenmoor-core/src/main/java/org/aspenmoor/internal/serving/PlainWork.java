package org.aspenmoor.internal.serving;

import java.util.List;
import java.util.random.RandomGenerator;

/**
 * How long a request to a plain service takes at each of the candidate servers, if servers of the service state their
 * speed.
 *
 * <p>Servers are compared by the time in which their slots do the work that is there and the request's own. A request
 * does not wait while a slot is free; but if servers were compared by that, the fastest ones would always have all slots
 * occupied, and a host that becomes slow would delay most of the requests.
 *
 * <p>A server without a recent statement is expected to be at its usual speed, and one without answers to be as fast as
 * the average of the others, so that neither is avoided or preferred for that.
 */
final class PlainWork {
    private final PeerLoads peerLoads;
    private final RandomGenerator random;
    private final long now;
    private final double typicalSlowdown;

    PlainWork(List<ServerEstimate> candidates, PeerLoads peerLoads, RandomGenerator random, long now) {
        this.peerLoads = peerLoads;
        this.random = random;
        this.now = now;
        this.typicalSlowdown = Math.exp(candidates.stream()
                .flatMap(each -> each.knownSpeed().learned(now).stream())
                .mapToDouble(learned -> Math.log(learned.factor()))
                .average()
                .orElse(0));
    }

    /**
     * Returns the expected durations at a server.
     *
     * <p>The requests of other entries have been answered since they were reported, and others have arrived; their
     * number is about Poisson distributed. Scores use a random sample of it. With the expected number, hundreds of
     * entries whose reports are seconds old would all choose the same server.
     */
    Durations at(ServerEstimate candidate) {
        EntryLoad others = peerLoads.onServer(candidate.server().id());
        double own = candidate.ownLoad(now).requests();
        double requests = candidate.requests(others, now);
        double ofOthers = requests - own;
        double sampled = own + Math.max(0, ofOthers + Math.sqrt(ofOthers) * random.nextGaussian());
        double workSeconds = ServerRanking.PLAIN_WORK_SECONDS
                * candidate.knownSpeed().learnedSlowdown(typicalSlowdown, now)
                * candidate.statedSlowdown(now);
        double overdueSeconds = candidate.overdueSeconds(now);
        int slots = Math.max(1, candidate.server().slots());
        double waitSeconds = Math.max(0, requests + 1 - slots) / slots * workSeconds;
        return new Durations(
                workSeconds,
                Math.max(waitSeconds, overdueSeconds),
                Math.max((sampled + 1) / slots * workSeconds, overdueSeconds));
    }

    /**
     * Durations of a request at a server, in seconds.
     *
     * @param work how long the server works on it
     * @param queue how long it is expected to wait for a slot
     * @param score how long the slots need for all requests there with the sampled number of those of other entries
     */
    record Durations(double work, double queue, double score) {}
}
