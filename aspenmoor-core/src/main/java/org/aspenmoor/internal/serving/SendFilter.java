package org.aspenmoor.internal.serving;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.aspenmoor.internal.engine.EngineRole;
import org.aspenmoor.internal.serving.limit.ServerLimits;

/**
 * Keeps requests from servers that want none from this entry now: those that are draining, that have asked it for a
 * pause, or whose stated limits leave no room for it.
 */
final class SendFilter {
    private static final double NANOSECONDS_PER_SECOND = 1e9;

    private final ServerLimits limits;

    SendFilter(ServerLimits limits) {
        this.limits = limits;
    }

    /** Returns whether this entry may send a request to a server now. */
    boolean maySend(ServerEstimate estimate, long now) {
        return estimate.backoffHasRoom(now) && acceptsRequests(estimate, now);
    }

    private boolean acceptsRequests(ServerEstimate estimate, long now) {
        return estimate.server().state() == BackendState.READY
                && !estimate.backoff().active(now)
                && limits.maySend(estimate.server().id(), now);
    }

    /** Returns the servers to which this entry may send a request now. */
    List<ServerEstimate> permitted(List<ServerEstimate> servers, long now) {
        return servers.stream().filter(estimate -> maySend(estimate, now)).toList();
    }

    /**
     * Returns the servers to which this entry may send the answer to a computed prompt now. If all are returning step by
     * step and have their requests, they are asked all the same: the prompt would have been computed in vain, and the
     * next ones are not computed until there is room.
     */
    List<ServerEstimate> permittedForComputedPrompt(List<ServerEstimate> servers, long now) {
        List<ServerEstimate> permitted = permitted(servers, now);
        return permitted.stream().anyMatch(SendFilter::canAnswer)
                ? permitted
                : servers.stream()
                        .filter(estimate -> acceptsRequests(estimate, now))
                        .toList();
    }

    /** Returns whether a server that can answer takes requests of this entry again, if only one by one. */
    boolean anyReturning(List<ServerEstimate> available, long now) {
        return available.stream()
                .filter(SendFilter::canAnswer)
                .anyMatch(each -> each.backoff().returning(now));
    }

    /** Returns whether a server can generate an answer, and not only compute a prompt. */
    static boolean canAnswer(ServerEstimate estimate) {
        return estimate.server().role() != EngineRole.PREFILL;
    }

    /**
     * Refuses a request that none of the permitted servers can answer.
     *
     * @param available the servers that could answer if they all took requests; may be empty
     */
    Placement refuse(PlacementRequest request, List<ServerEstimate> available, long now) {
        String service = request.service();
        if (available.isEmpty()) {
            return new Placement.Refused(noneAvailable(request), ServerRanking.NO_SERVER_RETRY_AFTER);
        }
        limits.refused(service, now);
        Duration delay = untilPermitted(available, now);
        return new Placement.Refused(reason(service, available, delay, now), delay);
    }

    private static String noneAvailable(PlacementRequest request) {
        return switch (request.version()) {
            case VersionRequirement.Any any -> noServerAvailable(request);
            case VersionRequirement.PreferablyShared shared -> noServerAvailable(request);
            case VersionRequirement.Exactly exactly ->
                "no backend server of service " + request.service() + " with software version "
                        + exactly.version().name()
                        + ", which has begun the stream, is available";
        };
    }

    private static String noServerAvailable(PlacementRequest request) {
        return "no backend server of service " + request.service() + " is available";
    }

    private static String reason(String service, List<ServerEstimate> available, Duration delay, long now) {
        if (available.stream().anyMatch(each -> each.backoff().active(now))) {
            return String.format(
                    "the backend servers of service %s that could answer want no requests from this entry for %.2f s",
                    service, delay.toNanos() / NANOSECONDS_PER_SECOND);
        }
        if (available.stream().anyMatch(each -> each.backoff().returning(now))) {
            return "the backend servers of service " + service + " have as many requests of this entry as they may have"
                    + " so soon after their pauses";
        }
        return "the limits of the backend servers of service " + service + " are used up";
    }

    /** Returns the time until this entry may send a request to one of the servers that can answer it. */
    Duration untilPermitted(List<ServerEstimate> available, long now) {
        return available.stream()
                .filter(SendFilter::canAnswer)
                .filter(each -> !maySend(each, now))
                .flatMap(each -> untilPermitted(each, now).stream())
                .min(Duration::compareTo)
                .orElse(ServerRanking.NO_SERVER_RETRY_AFTER);
    }

    /** Returns the time until this entry may send a request to a server; empty if it has no share of its limit. */
    private Optional<Duration> untilPermitted(ServerEstimate estimate, long now) {
        Duration pause = estimate.backoff().remaining(now);
        String id = estimate.server().id();
        if (limits.requestsPerSecond(id).isEmpty()) {
            return Optional.of(pause);
        }
        return limits.untilNext(List.of(id), now).map(next -> next.compareTo(pause) > 0 ? next : pause);
    }
}
