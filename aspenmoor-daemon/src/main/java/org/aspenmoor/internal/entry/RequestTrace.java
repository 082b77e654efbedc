package org.aspenmoor.internal.entry;

import java.util.List;
import org.aspenmoor.RequestId;

/**
 * What happened to a request, in sentences.
 *
 * @param id the request
 * @param sentences each starts with the milliseconds since the request came
 */
public record RequestTrace(RequestId id, List<String> sentences) {
    public RequestTrace {
        sentences = List.copyOf(sentences);
    }
}
