package org.aspenmoor.internal.agent;

import org.aspenmoor.RequestId;
import org.aspenmoor.internal.wire.AttemptIds;
import org.aspenmoor.internal.wire.v1.AttemptId;

/**
 * Identifies one attempt of one request.
 *
 * @param request the request id
 * @param attempt the attempt number, starting at 1
 */
record AttemptKey(RequestId request, int attempt) {
    static AttemptKey of(AttemptId id) {
        return new AttemptKey(new RequestId(id.getRequestHigh(), id.getRequestLow()), id.getAttempt());
    }

    AttemptId toWire() {
        return AttemptIds.of(request.high(), request.low(), attempt);
    }
}
