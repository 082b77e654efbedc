package org.aspenmoor.internal.gateway.request;

import org.aspenmoor.internal.gateway.caller.ActiveRequest;

/** A request that was answered at once. */
final class EndedRequest implements ActiveRequest {
    @Override
    public void callerDisconnected() {
        // Nothing runs for it.
    }

    @Override
    public void writabilityChanged() {
        // Nothing more is written.
    }
}
