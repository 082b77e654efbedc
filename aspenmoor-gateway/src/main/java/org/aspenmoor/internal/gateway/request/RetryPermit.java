package org.aspenmoor.internal.gateway.request;

import org.aspenmoor.internal.serving.AttemptTracker;

/** Takes the retries of one request from the retry budget of its service, which all entries share. */
final class RetryPermit {
    private static final String USED_UP = "the retry budget of the service is used up; ";

    private final ServingContext context;
    private final String service;
    private final AttemptTracker attempts;
    private final RequestShare share;
    private final RequestTrace trace;
    private int grantedRetries;

    RetryPermit(
            ServingContext context, String service, AttemptTracker attempts, RequestShare share, RequestTrace trace) {
        this.context = context;
        this.service = service;
        this.attempts = attempts;
        this.share = share;
        this.trace = trace;
    }

    /** Records a retry of this request that was taken from the budget elsewhere. */
    void recordGranted() {
        grantedRetries++;
    }

    /**
     * Returns whether the next attempt is allowed; the first attempt of a request always is. A retry that was granted for
     * an attempt that did not count, such as the first prompt that an engine computes, is still there for the next one.
     */
    boolean tryAcquire() {
        return tryAcquire(attempts.requiredRetries());
    }

    /** Returns whether an attempt is allowed that replaces the open one; to be called before that is given up. */
    boolean tryAcquireReplacement() {
        return tryAcquire(attempts.requiredRetries() + 1);
    }

    private boolean tryAcquire(int requiredRetries) {
        if (grantedRetries >= requiredRetries) {
            return true;
        }
        if (!share.mayRetry()) {
            return false;
        }
        boolean granted = context.state().retryBudgets().tryTakeRetry(service);
        context.metrics().retryRequested(service, granted);
        if (!granted && !trace.reason().startsWith(USED_UP)) {
            trace.setReason(USED_UP + trace.reason());
        }
        grantedRetries += granted ? 1 : 0;
        return granted;
    }
}
