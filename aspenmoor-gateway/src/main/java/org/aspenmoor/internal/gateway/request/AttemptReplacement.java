package org.aspenmoor.internal.gateway.request;

import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.aspenmoor.internal.serving.AssignedWork;
import org.aspenmoor.internal.serving.AttemptEnd;
import org.aspenmoor.internal.serving.AttemptTracker;
import org.aspenmoor.internal.serving.BackendServer;
import org.aspenmoor.internal.serving.Placement;
import org.aspenmoor.internal.serving.PlacementRequest;

/**
 * Replaces the open attempt of a request by one at another server. The open attempt is given up only for one that is
 * allowed and has been placed: a server that is silent may still answer, and a slow one does. Confined to the event loop.
 */
final class AttemptReplacement {
    private final ServingContext context;
    private final ServedRequest request;
    private final AttemptTracker attempts;
    private final CurrentAttempt currentAttempt;
    private final RetryPermit permit;
    private final SendCheck sendCheck;
    private final PendingHandoff pendingHandoff;
    private final AttemptRecorder recorder;
    private final RequestTrace trace;
    private AssignedWork loggedKept;

    AttemptReplacement(
            ServingContext context,
            ServedRequest request,
            AttemptTracker attempts,
            CurrentAttempt currentAttempt,
            RetryPermit permit,
            SendCheck sendCheck,
            PendingHandoff pendingHandoff,
            AttemptRecorder recorder,
            RequestTrace trace) {
        this.context = context;
        this.request = request;
        this.attempts = attempts;
        this.currentAttempt = currentAttempt;
        this.permit = permit;
        this.sendCheck = sendCheck;
        this.pendingHandoff = pendingHandoff;
        this.recorder = recorder;
        this.trace = trace;
    }

    /** Replaces an attempt whose server has stalled, or keeps it until another server can be asked. */
    void replaceStalled(WatchedAttempt stalled, PlacementRequest placementRequest) {
        if (stalled instanceof AnswerAttempt && !attempts.mayReplaceOpenAttempt()) {
            trace.setReason("the server is unresponsive, and no further attempt is allowed");
            return;
        }
        String reason = stalled.stallReason();
        Placement found = find(stalled.work(), reason, placementRequest, permit::tryAcquireReplacement);
        switch (found) {
            case Placement.Queued queued -> request.follow(queued);
            case Placement.Refused refused -> keep(stalled, refused.reason());
            case Placement.SingleServer single -> replaceStalled(stalled, single);
            case Placement.Disaggregated disaggregated -> replaceStalled(stalled, disaggregated);
        }
    }

    private void keep(WatchedAttempt stalled, String obstacle) {
        if (!stalled.work().equals(loggedKept)) {
            loggedKept = stalled.work();
            trace.logAttemptKept(context.state().log(), stalled.stallReason(), obstacle);
        }
    }

    /** Moves an answer to another engine if one takes it now. */
    void move(AnswerAttempt answer, AnswerRelocation.Move move, PlacementRequest placementRequest) {
        Placement found = find(answer.work(), move.reason(), placementRequest, move.permit());
        switch (found) {
            case Placement.Queued queued -> {}
            case Placement.Refused refused -> {}
            case Placement.SingleServer single -> move(answer, move, single);
            case Placement.Disaggregated disaggregated -> move(answer, move, disaggregated);
        }
    }

    /** Returns where the request continues. The permit is only taken for an attempt that has been placed. */
    private Placement find(
            AssignedWork open, String reason, PlacementRequest placementRequest, BooleanSupplier retryPermit) {
        trace.setReason(reason);
        if (!sendCheck.mayRetry() || refusedBySendCheck()) {
            return kept(trace.reason());
        }
        long now = context.state().time().monotonicNanos();
        Placement placement = context.state().placement().chooseOther(placementRequest, open, now);
        return switch (placement) {
            case Placement.SingleServer single -> permitted(single, single.server(), retryPermit);
            case Placement.Disaggregated disaggregated ->
                permitted(disaggregated, disaggregated.prefill(), retryPermit);
            case Placement.Queued queued -> queued;
            case Placement.Refused refused -> refused;
        };
    }

    private Placement permitted(Placement placement, BackendServer server, BooleanSupplier retryPermit) {
        if (!context.connections().hasRoom(server)) {
            return kept("all connections to the chosen server are in use");
        }
        return retryPermit.getAsBoolean() ? placement : kept(trace.reason());
    }

    private boolean refusedBySendCheck() {
        Optional<SendRefusal> refusal = sendCheck.refusal();
        if (refusal.isPresent() && refusal.get() instanceof SendRefusal.CallerDisconnected) {
            request.callerDisconnected();
        }
        return refusal.isPresent();
    }

    private static Placement kept(String obstacle) {
        return new Placement.Refused(obstacle, FinalAnswer.MIN_RETRY_DELAY);
    }

    private void replaceStalled(WatchedAttempt stalled, Placement placement) {
        AttemptEnd end = new AttemptEnd.Lost();
        currentAttempt.cancel();
        context.state().attemptEnded(stalled.work(), end);
        switch (stalled) {
            case AnswerAttempt answer -> {
                answer.release();
                recorder.attemptGivenUp(answer.stallReason());
                pendingHandoff.release();
            }
            case PrefillAttempt prefill -> recorder.prefillFailed(prefill.engine(), end, prefill.stallReason());
        }
        replace(stalled.work(), placement);
    }

    private void move(AnswerAttempt answer, AnswerRelocation.Move move, Placement placement) {
        answer.release();
        currentAttempt.cancel();
        recorder.answerMoved(move.reason());
        permit.recordGranted();
        replace(answer.work(), placement);
    }

    /** Ends the load of the given-up attempt last, because waiting requests may then take the place that was found. */
    private void replace(AssignedWork givenUp, Placement placement) {
        context.waitQueues().remove(request);
        request.follow(placement);
        currentAttempt.end(givenUp);
    }
}
