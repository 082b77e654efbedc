package org.aspenmoor.internal.administration;

import java.util.List;
import java.util.Optional;
import org.aspenmoor.internal.document.ServiceName;

/**
 * Why a request was routed, queued, refused or resumed.
 *
 * @param service the service it was for, where it was found; without it only the platform's operators see the trace
 * @param sentences what happened, in order
 */
public record RequestExplanation(Optional<ServiceName> service, List<String> sentences) {
    public RequestExplanation {
        sentences = List.copyOf(sentences);
    }
}
