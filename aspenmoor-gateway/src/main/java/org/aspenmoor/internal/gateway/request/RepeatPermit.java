package org.aspenmoor.internal.gateway.request;

import org.aspenmoor.internal.serving.AttemptAccount;

/** Takes repeated attempts of one request out of the repeat budget, which all entries share. */
final class RepeatPermit {
    private final RequestDependencies dependencies;
    private final String service;
    private final AttemptAccount attemptTracker;
    private final RequestTrace trace;

    RepeatPermit(RequestDependencies dependencies, String service, AttemptAccount attemptTracker, RequestTrace trace) {
        this.dependencies = dependencies;
        this.service = service;
        this.attemptTracker = attemptTracker;
        this.trace = trace;
    }

    /** Returns whether the next attempt is allowed; the first attempt of a request always is. */
    boolean tryAcquire() {
        if (!attemptTracker.nextIsRepeat()) {
            return true;
        }
        boolean granted = dependencies.state().tryTakeRepeat(service);
        dependencies.metrics().repeatRequested(service, granted);
        if (!granted) {
            trace.setReason("the repeat budget of the service is used up; " + trace.reason());
        }
        return granted;
    }
}
