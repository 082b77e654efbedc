package org.aspenmoor.internal.gateway.request;

import org.aspenmoor.internal.gateway.caller.ActiveRequest;

/** A request that was answered without being sent to a backend server. */
final class LocallyAnsweredRequest implements ActiveRequest {
    @Override
    public void callerDisconnected() {
        // There is no work to cancel.
    }

    @Override
    public void writabilityChanged() {
        // The answer has already been written.
    }

    @Override
    public void processStopping() {
        // The answer has already been written.
    }

    @Override
    public void processEnding() {
        // The answer has already been written.
    }
}
