package org.aspenmoor.internal.gateway.request;

import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import org.aspenmoor.internal.gateway.protocol.CallerHeaders;
import org.aspenmoor.internal.serving.AnswerInProgress;
import org.aspenmoor.internal.serving.AnswerMoves;
import org.aspenmoor.internal.serving.AssignedWork;
import org.aspenmoor.internal.serving.AttemptTracker;
import org.aspenmoor.internal.serving.RequestDeadlines;

/** Decides whether the answer to one request should continue at another engine. */
final class AnswerRelocation {
    private static final double NANOSECONDS_PER_SECOND = 1e9;

    private final ServingContext context;
    private final String service;
    private final CallerHeaders caller;
    private final RequestDeadlines deadlines;
    private final AttemptTracker attempts;
    private final RequestTrace trace;

    AnswerRelocation(
            ServingContext context,
            String service,
            CallerHeaders caller,
            RequestDeadlines deadlines,
            AttemptTracker attempts,
            RequestTrace trace) {
        this.context = context;
        this.service = service;
        this.caller = caller;
        this.deadlines = deadlines;
        this.attempts = attempts;
        this.trace = trace;
    }

    /** Returns whether and why the answer should continue elsewhere now. To be called after each event. */
    Optional<Move> moveFrom(AssignedWork work) {
        if (!attempts.mayResumeElsewhere()) {
            return Optional.empty();
        }
        long now = context.state().time().monotonicNanos();
        AnswerMoves moves = context.state().placement().answerMoves();
        if (moves.shouldLeave(work, now)) {
            return move(context.state().retryBudgets()::tryTakeRetry, "the engine changes its role");
        }
        double secondsLeft = (deadlines.deadline() - now) / NANOSECONDS_PER_SECOND;
        return caller.prompt()
                .map(prompt -> new AnswerInProgress(prompt, trace.events(), secondsLeft))
                .filter(answer -> moves.shouldBeRescued(work, answer, now))
                .flatMap(answer -> move(
                        context.state().retryBudgets()::tryTakeOptionalRetry,
                        "the engine is too slow to complete the answer in time"));
    }

    private Optional<Move> move(Predicate<String> retries, String reason) {
        return Optional.of(new Move(reason + ", so it continues elsewhere", () -> retries.test(service)));
    }

    /**
     * A move of an answer.
     *
     * @param reason why the answer should move
     * @param permit takes the retry that the move counts as
     */
    record Move(String reason, BooleanSupplier permit) {}
}
