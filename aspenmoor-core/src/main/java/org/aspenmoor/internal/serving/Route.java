package org.aspenmoor.internal.serving;

import java.time.Duration;
import java.util.List;

/**
 * Where requests of one host and path prefix go, and what is promised for them.
 *
 * @param name its name
 * @param host the host that callers name, in lower case
 * @param pathPrefix what the path begins with
 * @param repeatRule whether a request may run more than once
 * @param streamed whether the answer is a stream of events
 * @param timeout how long a request may be kept waiting for its answer
 * @param objective within which an answer is on time; for a stream, its first event
 * @param longestSilence after how long without anything callers leave; no shorter than the timeout where they do not
 * @param mostBackends how many backend servers may run one request
 * @param priority the rank among kinds of request; 0 goes first
 * @param targets the services it leads to; more than one while traffic is split
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
        List<RouteTarget> targets) {
    public Route {
        targets = List.copyOf(targets);
    }

    /** Returns the service of a request, by a number drawn evenly from 0 to 1. */
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
