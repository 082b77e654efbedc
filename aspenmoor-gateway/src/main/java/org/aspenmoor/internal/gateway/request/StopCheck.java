package org.aspenmoor.internal.gateway.request;

import java.time.Duration;
import java.util.Optional;
import org.aspenmoor.internal.serving.RequestDeadlines;
import org.aspenmoor.internal.serving.stop.StopAdmission;

/**
 * One request's part in a graceful stop: whether it may still be sent, and how long its answer took. An answer that has
 * begun is always continued.
 */
final class StopCheck {
    private final ServingContext context;
    private final RoutedRequest request;
    private final CallerStream stream;
    private final RequestDeadlines deadlines;
    private final RequestTrace trace;
    private Optional<Long> startedAt = Optional.empty();
    private boolean prefillDone;

    StopCheck(
            ServingContext context,
            RoutedRequest request,
            CallerStream stream,
            RequestDeadlines deadlines,
            RequestTrace trace) {
        this.context = context;
        this.request = request;
        this.stream = stream;
        this.deadlines = deadlines;
        this.trace = trace;
    }

    /** Records that a server starts with the request, from its beginning. */
    void started() {
        prefillDone = false;
        if (!stream.begun()) {
            startedAt = Optional.of(now());
        }
    }

    /** Records that the prompt has been computed; what is left takes the rest of the time since the start. */
    void prefilled() {
        prefillDone = true;
    }

    /** Returns why the request must not be sent now, because the process is stopping; empty if it may be. */
    Optional<SendRefusal.Stopping> refusal() {
        if (stream.begun()) {
            return Optional.empty();
        }
        long startsAt = startedAt.filter(since -> prefillDone).orElseGet(this::now);
        Optional<SendRefusal.Stopping> refusal = admission()
                .refusal(request.route().name(), deadlines.deadline(), startsAt, now())
                .map(SendRefusal.Stopping::new);
        if (refusal.isPresent()) {
            trace.setReason("this process is stopping, and the answer may take longer than it still runs");
        }
        return refusal;
    }

    /** Records that the request is refused; returns when it may be sent again. */
    Duration refused(SendRefusal.Stopping stopping) {
        context.metrics().refusedByStop(request.service());
        trace.logRefusedByStop(context.state().log(), stopping.refusal());
        return FinalAnswer.MIN_RETRY_DELAY;
    }

    /** Records the outcome of the request. */
    void ended(RequestOutcome outcome) {
        if (startedAt.isEmpty() || request.caller().resumption().isPresent()) {
            return;
        }
        Duration taken = Duration.ofNanos(now() - startedAt.get());
        switch (outcome) {
            case ANSWERED -> admission().answered(request.route().name(), taken, now());
            case UNKNOWN, CUT, CALLER_LEFT ->
                admission().unfinished(request.route().name(), taken, now());
            case FAILURE_PASSED_ON, NOT_RUN, NO_ROUTE, UNAUTHORISED -> {}
        }
    }

    private StopAdmission admission() {
        return context.state().stopAdmission();
    }

    private long now() {
        return context.state().time().monotonicNanos();
    }
}
