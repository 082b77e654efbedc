package org.aspenmoor.internal.administration;

import org.aspenmoor.AspenmoorException;

/** Handles the calls of one endpoint, on a thread that may block. */
interface EndpointHandler {
    /** Handles a call and returns its answer. */
    ApiAnswer handle(ApiRequest request) throws AspenmoorException;
}
