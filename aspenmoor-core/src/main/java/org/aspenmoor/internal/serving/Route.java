package org.aspenmoor.internal.serving;

import java.time.Duration;
import java.util.List;

/**
 * Routing rule for the requests of one host and path prefix, with the limits that apply to them.
 *
 * @param name its name
 * @param host the host named by callers, in lower case
 * @param pathPrefix the prefix of the path
 * @param retryRule whether a request may run more than once
 * @param streamed whether the answer is a stream of events
 * @param timeout how long a request may wait for its complete answer
 * @param objective time within which an answer is on time; for a stream, its first event
 * @param callerIdleTimeout time without any data after which callers leave; at least the timeout if they do not
 * @param maxBackends how many backend servers may run one request
 * @param priority the priority among kinds of request; 0 is the highest
 * @param open whether requests need no key, even if the configuration has organisations
 * @param targets the services that requests are routed to; more than one if traffic is split
 */
public record Route(
        String name,
        String host,
        String pathPrefix,
        RetryRule retryRule,
        boolean streamed,
        Duration timeout,
        Duration objective,
        Duration callerIdleTimeout,
        int maxBackends,
        int priority,
        boolean open,
        List<RouteTarget> targets) {
    public Route {
        targets = List.copyOf(targets);
    }

    /** Returns the services that requests may be routed to. */
    public List<String> services() {
        return targets.stream().map(RouteTarget::service).distinct().toList();
    }

    /**
     * Returns the service for a request.
     *
     * @param uniform a random number, evenly distributed from 0 to 1
     */
    public String serviceFor(double uniform) {
        int totalWeight = targets.stream().mapToInt(RouteTarget::weight).sum();
        double remaining = uniform * totalWeight;
        for (RouteTarget target : targets) {
            remaining -= target.weight();
            if (remaining < 0) {
                return target.service();
            }
        }
        return targets.getLast().service();
    }
}
