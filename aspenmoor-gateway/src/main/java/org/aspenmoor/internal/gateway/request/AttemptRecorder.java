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
    private final StopCheck stopCheck;
    private final RequestTrace trace;
    private boolean mustContinueStream;

    AttemptRecorder(
            ServingContext context,
            String service,
            AttemptTracker attempts,
            RequestShare share,
            TriedServers triedServers,
            StopCheck stopCheck,
            RequestTrace trace) {
        this.context = context;
        this.service = service;
        this.attempts = attempts;
        this.share = share;
        this.triedServers = triedServers;
        this.stopCheck = stopCheck;
        this.trace = trace;
    }

    /** Records that an attempt ended without an answer, and why; returns the next step. */
    NextStep attemptEnded(AttemptEnd end, String reason) {
        trace.setReason(reason);
        context.metrics().attemptEnded(service, end.getClass().getSimpleName());
        share.attemptEnded(end);
        if (end instanceof AttemptEnd.Lost) {
            mustContinueStream = false;
        }
        NextStep next = attempts.attemptEnded(end);
        trace.logAttemptEnded(context.state().log(), end, next);
        return next;
    }

    /** Records that this entry gave an attempt up for another one. */
    void attemptGivenUp(String reason) {
        attemptEnded(new AttemptEnd.Lost(), reason);
        // Afterwards, because a lost attempt resets it.
        mustContinueStream = true;
    }

    /**
     * Returns whether this entry has taken the answer from a server that might have completed it, and no server has lost
     * it since.
     */
    boolean mustContinueStream() {
        return mustContinueStream;
    }

    /** Records that a server responded with a failure; returns the next step. */
    NextStep attemptFailed(int status) {
        trace.setReason("the server failed with status " + status);
        context.metrics().attemptEnded(service, "failed");
        return attempts.attemptEnded(new AttemptEnd.Failed());
    }

    /** Records that an attempt ended because its answer continues at another engine. */
    void answerMoved(String reason) {
        trace.setReason(reason);
        context.metrics().attemptEnded(service, "moved");
        attempts.attemptEnded(new AttemptEnd.Lost());
        mustContinueStream = true;
    }

    /** Records the outcome of the request. */
    void requestEnded(RequestOutcome outcome) {
        context.metrics().requestEnded(service, outcome);
        if (trace.mixedVersions()) {
            context.metrics().versionsMixed(service);
        }
        share.ended(outcome);
        stopCheck.ended(outcome);
        trace.logEnded(context.state(), outcome, attempts.attempts());
    }

    /** Records that an engine has computed the prompt. */
    void prefillCompleted(BackendServer engine, long now) {
        attempts.promptComputed();
        stopCheck.prefilled();
        trace.prefillCompleted(engine, now);
        context.metrics().attemptEnded(service, "prefilled");
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
