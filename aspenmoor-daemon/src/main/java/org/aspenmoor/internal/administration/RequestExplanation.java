package org.aspenmoor.internal.administration;

import java.util.List;
import org.aspenmoor.internal.document.ServiceName;

/**
 * Why a request was routed, queued, refused or resumed.
 *
 * @param service the service it was for
 * @param sentences what happened, in order
 */
public record RequestExplanation(ServiceName service, List<String> sentences) {
    public RequestExplanation {
        sentences = List.copyOf(sentences);
    }
}
