package org.aspenmoor.internal.gateway.request;

import org.aspenmoor.internal.serving.AttemptAccount;

/** Takes repeated attempts of one request out of the repeat budget, which all entries share. */
final class RepeatPermit {
    private final RequestTools tools;
    private final String service;
    private final AttemptAccount account;
    private final RequestTrace trace;

    RepeatPermit(RequestTools tools, String service, AttemptAccount account, RequestTrace trace) {
        this.tools = tools;
        this.service = service;
        this.account = account;
        this.trace = trace;
    }

    /** Returns whether the next attempt is allowed; the first attempt of a request always is. */
    boolean granted() {
        if (!account.nextIsRepeat()) {
            return true;
        }
        boolean granted = tools.state().takeRepeat(service);
        tools.metrics().repeated(service, granted);
        if (!granted) {
            trace.because("the repeat budget of the service is used up; " + trace.reason());
        }
        return granted;
    }
}
