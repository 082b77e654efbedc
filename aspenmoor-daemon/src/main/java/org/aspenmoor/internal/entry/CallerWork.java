package org.aspenmoor.internal.entry;

import java.util.List;
import org.aspenmoor.internal.wire.v1.Header;

/** What a caller asks for. */
public sealed interface CallerWork {
    /**
     * An answer of a model.
     *
     * @param request the completion asked for
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
