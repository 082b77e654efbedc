package org.aspenmoor.internal.gateway.request;

import java.util.Optional;
import java.util.function.Predicate;
import org.aspenmoor.internal.gateway.protocol.CallerHeaders;
import org.aspenmoor.internal.serving.AnswerInProgress;
import org.aspenmoor.internal.serving.AnswerMoves;
import org.aspenmoor.internal.serving.AssignedWork;
import org.aspenmoor.internal.serving.AttemptTracker;
import org.aspenmoor.internal.serving.RequestDeadlines;

/** Decides whether the answer to one request continues at another engine, and takes the retry that this counts as. */
final class AnswerRelocation {
    private static final double NANOSECONDS_PER_SECOND = 1e9;

    private final ServingContext context;
    private final String service;
    private final CallerHeaders caller;
    private final RequestDeadlines deadlines;
    private final AttemptTracker attempts;
    private final SendCheck sendCheck;
    private final RequestTrace trace;

    AnswerRelocation(
            ServingContext context,
            String service,
            CallerHeaders caller,
            RequestDeadlines deadlines,
            AttemptTracker attempts,
            SendCheck sendCheck,
            RequestTrace trace) {
        this.context = context;
        this.service = service;
        this.caller = caller;
        this.deadlines = deadlines;
        this.attempts = attempts;
        this.sendCheck = sendCheck;
        this.trace = trace;
    }

    /** Returns why the answer continues elsewhere now; empty if it does not. To be called after each event. */
    Optional<String> reasonToMove(AssignedWork work) {
        if (!attempts.mayResumeElsewhere()) {
            return Optional.empty();
        }
        long now = context.state().time().monotonicNanos();
        AnswerMoves moves = context.state().placement().answerMoves();
        if (moves.shouldLeave(work, now)) {
            return granted(context.state().retryBudgets()::tryTakeRetry, "the engine changes its role");
        }
        double secondsLeft = (deadlines.deadline() - now) / NANOSECONDS_PER_SECOND;
        return caller.prompt()
                .map(prompt -> new AnswerInProgress(prompt, trace.events(), secondsLeft))
                .filter(answer -> moves.shouldBeRescued(work, answer, now))
                .flatMap(answer -> granted(
                        context.state().retryBudgets()::tryTakeOptionalRetry,
                        "the engine is too slow to complete the answer in time"));
    }

    private Optional<String> granted(Predicate<String> retries, String reason) {
        boolean allowed = sendCheck.keyValid() && retries.test(service);
        return allowed ? Optional.of(reason + ", so it continues elsewhere") : Optional.empty();
    }
}
