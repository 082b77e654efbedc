package org.aspenmoor.internal.gateway.request;

import org.aspenmoor.internal.serving.AttemptTracker;

/** Takes the retries of one request from the retry budget of its service, which all entries share. */
final class RetryPermit {
    private final ServingContext context;
    private final String service;
    private final AttemptTracker attempts;
    private final RequestTrace trace;

    RetryPermit(ServingContext context, String service, AttemptTracker attempts, RequestTrace trace) {
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
        boolean granted = context.state().retryBudgets().tryTakeRetry(service);
        context.metrics().retryRequested(service, granted);
        if (!granted) {
            trace.setReason("the retry budget of the service is used up; " + trace.reason());
        }
        return granted;
    }
}
