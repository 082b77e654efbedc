package org.aspenmoor.internal.gateway.request;

import java.time.Duration;
import java.util.Optional;
import org.aspenmoor.internal.organisation.Organisation;
import org.aspenmoor.internal.serving.AssignedWork;
import org.aspenmoor.internal.serving.AttemptEnd;
import org.aspenmoor.internal.serving.Prompt;
import org.aspenmoor.internal.serving.share.FairShareAdmission;
import org.aspenmoor.internal.serving.share.ShareDecision;

/**
 * One request's part of its organisation's share: whether it is admitted, and what became of its work. Does nothing for
 * requests without an organisation.
 */
final class RequestShare {
    /** Engines generate a token in about the time in which they compute ten tokens of a prompt. */
    private static final int PROMPT_TOKENS_PER_OUTPUT_TOKEN = 10;

    private final ServingContext context;
    private final RoutedRequest request;
    private final RequestTrace trace;
    private final RequestUsage usage;
    private boolean decided;
    private boolean counted;
    private boolean withinAllowance = true;
    private boolean lackOfRoom;

    RequestShare(ServingContext context, RoutedRequest request, RequestTrace trace) {
        this.context = context;
        this.request = request;
        this.trace = trace;
        this.usage = new RequestUsage(context, request.authorisation(), request.route());
    }

    /**
     * Decides, at the first call, whether the request is admitted; returns the retry delay if it is not. The rest of a
     * stream is always admitted, because its first part was.
     */
    Optional<Duration> refusal() {
        Optional<Organisation> organisation = request.authorisation().current().servedFor();
        if (decided || organisation.isEmpty() || request.caller().resumption().isPresent()) {
            return Optional.empty();
        }
        decided = true;
        String name = organisation.get().name();
        int priority =
                request.authorisation().current().priority(request.route().priority());
        ShareDecision decision = admission().decide(request.service(), name, priority, work(), now());
        context.metrics().shareDecided(name, decision instanceof ShareDecision.Admitted);
        return switch (decision) {
            case ShareDecision.Admitted admitted -> {
                counted = true;
                withinAllowance = admitted.withinAllowance();
                yield Optional.empty();
            }
            case ShareDecision.Refused refused -> {
                trace.setReason("the organisation demands more than its share of what the service can do now");
                yield Optional.of(refused.retryAfter());
            }
        };
    }

    /** Records that an answer has begun. */
    void answerBegan(AssignedWork work) {
        usage.began(work);
        if (counted) {
            counted = false;
            admission().completed(request.service(), work(), now());
        }
    }

    /** Records that no server has room for the request at present. */
    void noRoom() {
        lackOfRoom = true;
    }

    /** Records how an attempt ended without an answer. */
    void attemptEnded(AttemptEnd end) {
        lackOfRoom = end instanceof AttemptEnd.NotExecuted || end instanceof AttemptEnd.TurnedAway;
    }

    /**
     * Returns whether the request may use the retry budget now. While servers are full, the budget serves organisations
     * within their allowance, which would otherwise be turned away for the demand of others.
     */
    boolean mayRetry() {
        return withinAllowance || !lackOfRoom;
    }

    /** Returns whether all requests of the organisation were admitted when this one was. */
    boolean withinAllowance() {
        return withinAllowance;
    }

    /** Records the outcome. */
    void ended(RequestOutcome outcome) {
        context.metrics().organisationRequestEnded(trace.organisation(), outcome);
        if (counted && lackOfRoom && outcome == RequestOutcome.NOT_RUN) {
            counted = false;
            admission().turnedAway(request.service(), work(), now());
        }
    }

    private double work() {
        return request.caller().prompt().map(RequestShare::tokens).orElse(1.0);
    }

    /** Returns the work of a prompt; an answer of unknown length counts with the most that may be generated. */
    private static double tokens(Prompt prompt) {
        int output = prompt.expectedOutputTokens().orElse(prompt.maxOutputTokens());
        return Math.max(1, prompt.promptTokens()) + PROMPT_TOKENS_PER_OUTPUT_TOKEN * (double) Math.max(0, output);
    }

    private FairShareAdmission admission() {
        return context.state().shares().admission();
    }

    private long now() {
        return context.state().time().monotonicNanos();
    }
}
