package org.aspenmoor.internal.entry;

import java.util.List;
import org.aspenmoor.internal.wire.v1.Header;

/** The work that a caller requests. */
public sealed interface CallerWork {
    /**
     * A completion by a model.
     *
     * @param request the requested completion
     */
    record Generation(CompletionRequest request) implements CallerWork {}

    /**
     * A call to a plain service.
     *
     * @param service the service named in the path
     * @param method the HTTP method
     * @param path the path below the service's name, with its query
     * @param headers the caller's headers
     * @param body the caller's body
     */
    record PlainCall(String service, String method, String path, List<Header> headers, byte[] body)
            implements CallerWork {}
}
