package org.aspenmoor.internal.entry;

import java.util.List;
import org.aspenmoor.RequestId;

/**
 * What happened to a request, in sentences.
 *
 * @param id the request
 * @param events each starts with the milliseconds since the request came
 */
public record RequestTrace(RequestId id, List<String> events) {
    public RequestTrace {
        events = List.copyOf(events);
    }
}
