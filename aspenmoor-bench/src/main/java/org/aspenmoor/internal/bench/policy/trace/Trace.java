package org.aspenmoor.internal.bench.policy.trace;

import java.util.List;

/**
 * A trace of requests, with incidents in the fleet.
 *
 * @param name name of the trace
 * @param requests requests in order of arrival
 * @param incidents incidents in order of time
 */
public record Trace(String name, List<TraceRequest> requests, List<TraceIncident> incidents) {
    public Trace {
        requests = List.copyOf(requests);
        incidents = List.copyOf(incidents);
    }

    /** Returns the arrival time of the last request. */
    public double lengthSeconds() {
        return requests.isEmpty() ? 0 : requests.getLast().arrivalSeconds();
    }
}
