package org.aspenmoor.internal.administration;

import org.aspenmoor.AspenmoorException;

/** Answers the calls of one endpoint; runs on a thread that may block. */
interface EndpointHandler {
    /** Answers one call. */
    ApiAnswer handle(ApiRequest request) throws AspenmoorException;
}
