package org.aspenmoor.internal.bench.policy.trace;

import java.util.List;

/**
 * A trace.
 *
 * @param name its name
 * @param requests its requests by arrival
 * @param incidents what happens to the fleet, by time
 */
public record Trace(String name, List<TraceRequest> requests, List<TraceIncident> incidents) {
    public Trace {
        requests = List.copyOf(requests);
        incidents = List.copyOf(incidents);
    }

    /** Returns when the last request arrives. */
    public double lengthSeconds() {
        return requests.isEmpty() ? 0 : requests.getLast().arrivalSeconds();
    }
}
