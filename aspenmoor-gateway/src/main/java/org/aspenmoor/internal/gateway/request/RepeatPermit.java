package org.aspenmoor.internal.gateway.request;

import org.aspenmoor.internal.serving.AttemptTracker;

/** Asks the budget that all entries share before an attempt of one request that would be a repeat. */
final class RepeatPermit {
    private final RequestTools tools;
    private final String service;
    private final AttemptTracker account;
    private final RequestTrace trace;

    RepeatPermit(RequestTools tools, String service, AttemptTracker account, RequestTrace trace) {
        this.tools = tools;
        this.service = service;
        this.account = account;
        this.trace = trace;
    }

    /** Returns whether the next attempt may be made; the first of a request always may. */
    boolean granted() {
        if (!account.nextIsRetry()) {
            return true;
        }
        boolean granted = tools.state().takeRepeat(service);
        tools.metrics().repeated(service, granted);
        if (!granted) {
            trace.because("the budget of repeats is used up; " + trace.reason());
        }
        return granted;
    }
}
