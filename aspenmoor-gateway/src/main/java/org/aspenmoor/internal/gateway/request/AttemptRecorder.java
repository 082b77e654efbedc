package org.aspenmoor.internal.gateway.request;

import org.aspenmoor.internal.serving.AttemptEnd;
import org.aspenmoor.internal.serving.AttemptTracker;
import org.aspenmoor.internal.serving.BackendServer;
import org.aspenmoor.internal.serving.NextStep;

/** Records how the attempts of one request end. */
final class AttemptRecorder {
    private final ServingContext context;
    private final String service;
    private final AttemptTracker attempts;
    private final RequestShare share;
    private final TriedServers triedServers;
    private final RequestTrace trace;

    AttemptRecorder(
            ServingContext context,
            String service,
            AttemptTracker attempts,
            RequestShare share,
            TriedServers triedServers,
            RequestTrace trace) {
        this.context = context;
        this.service = service;
        this.attempts = attempts;
        this.share = share;
        this.triedServers = triedServers;
        this.trace = trace;
    }

    /** Records that an attempt ended without an answer, and why; returns the next step. */
    NextStep attemptEnded(AttemptEnd end, String reason) {
        trace.setReason(reason);
        context.metrics().attemptEnded(service, end.getClass().getSimpleName());
        share.attemptEnded(end);
        NextStep next = attempts.attemptEnded(end);
        trace.logAttemptEnded(context.state().log(), end, next);
        return next;
    }

    /** Records that an attempt ended because its answer continues at another engine. */
    void answerMoved(String reason) {
        trace.setReason(reason);
        context.metrics().attemptEnded(service, "moved");
        attempts.attemptEnded(new AttemptEnd.Lost());
    }

    /** Records that an engine did not compute the prompt. */
    void prefillFailed(BackendServer engine, AttemptEnd end, String reason) {
        attempts.promptFailed(end);
        context.metrics().attemptEnded(service, "prefill-failed");
        trace.setReason("prefill at " + engine.id() + ": " + reason);
        trace.logPrefillFailed(context.state().log(), engine, reason);
        triedServers.prefillFailed(engine);
    }
}
