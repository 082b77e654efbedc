package org.aspenmoor.internal.gateway.request;

import java.time.Duration;
import org.aspenmoor.internal.gateway.caller.AnswerWriter;
import org.aspenmoor.internal.gateway.caller.LocalAnswers;
import org.aspenmoor.internal.organisation.Authorisation;
import org.aspenmoor.internal.serving.RequestDeadlines;

/** Writes the answer to a request that no server has answered. */
final class FinalAnswer {
    /** Minimum retry delay of a refused caller; a lack of time or of servers usually outlasts a shorter delay. */
    static final Duration MIN_RETRY_DELAY = Duration.ofMillis(200);

    private final ServingState state;
    private final AnswerWriter writer;
    private final RequestDeadlines deadlines;
    private final RequestTrace trace;

    FinalAnswer(ServingState state, AnswerWriter writer, RequestDeadlines deadlines, RequestTrace trace) {
        this.state = state;
        this.writer = writer;
        this.deadlines = deadlines;
        this.trace = trace;
    }

    /** States that the request has not run and will not run, and when it may be retried. */
    void sendNotRun(Duration retryDelay) {
        Duration delay = retryDelay.compareTo(MIN_RETRY_DELAY) < 0 ? MIN_RETRY_DELAY : retryDelay;
        writer.sendAnswer(LocalAnswers.notRun(trace.reason(), state.withJitter(delay)));
    }

    /** States that the request has not run because its key is not valid. */
    void sendUnauthorised(Authorisation.Reason reason) {
        writer.sendAnswer(LocalAnswers.unauthorised(reason.text()));
    }

    /** States that the request may have run. */
    void sendUnknown() {
        boolean deadlinePassed = deadlines.deadline() <= state.time().monotonicNanos();
        writer.sendAnswer(LocalAnswers.outcomeUnknown(trace.reason(), deadlinePassed));
    }
}
