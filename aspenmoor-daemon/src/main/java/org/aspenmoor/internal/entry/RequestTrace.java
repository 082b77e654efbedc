package org.aspenmoor.internal.entry;

import java.util.List;
import org.aspenmoor.RequestId;

/**
 * The events of a request, as readable text.
 *
 * @param id the request
 * @param events the events in order; each starts with the milliseconds since the request was received
 */
public record RequestTrace(RequestId id, List<String> events) {
    public RequestTrace {
        events = List.copyOf(events);
    }
}
