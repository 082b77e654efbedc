package org.aspenmoor.internal.administration;

import java.util.List;
import java.util.Optional;
import org.aspenmoor.internal.document.ServiceName;

/**
 * Why a request was routed, queued, refused or resumed.
 *
 * @param service service of the request; if empty, only operators of the whole platform may see the explanation
 * @param sentences how the request was handled, in chronological order
 */
public record RequestExplanation(Optional<ServiceName> service, List<String> sentences) {
    public RequestExplanation {
        sentences = List.copyOf(sentences);
    }
}
