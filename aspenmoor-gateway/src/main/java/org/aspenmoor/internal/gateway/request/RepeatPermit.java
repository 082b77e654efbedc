package org.aspenmoor.internal.gateway.request;

import org.aspenmoor.internal.serving.AttemptTracker;

/** Takes repeated attempts of one request out of the repeat budget, which all entries share. */
final class RepeatPermit {
    private final ServingContext context;
    private final String service;
    private final AttemptTracker attempts;
    private final RequestTrace trace;

    RepeatPermit(ServingContext context, String service, AttemptTracker attempts, RequestTrace trace) {
        this.context = context;
        this.service = service;
        this.attempts = attempts;
        this.trace = trace;
    }

    /** Returns whether the next attempt is allowed; the first attempt of a request always is. */
    boolean tryAcquire() {
        if (!attempts.nextIsRetry()) {
            return true;
        }
        boolean granted = context.state().tryTakeRepeat(service);
        context.metrics().repeatRequested(service, granted);
        if (!granted) {
            trace.setReason("the repeat budget of the service is used up; " + trace.reason());
        }
        return granted;
    }
}
