package org.aspenmoor.internal.entry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.aspenmoor.Outcome;
import org.aspenmoor.RequestId;
import org.aspenmoor.internal.admission.AdmissionDecision;
import org.aspenmoor.internal.admission.AdmissionQueue;
import org.aspenmoor.internal.admission.DispatchDecision;
import org.aspenmoor.internal.admission.DispatchPolicy;
import org.aspenmoor.internal.admission.EvictedRequest;
import org.aspenmoor.internal.admission.LengthEstimate;
import org.aspenmoor.internal.admission.LengthEstimator;
import org.aspenmoor.internal.admission.WaitingRequest;
import org.aspenmoor.internal.routing.EngineSpeed;
import org.aspenmoor.internal.routing.RoutingDecision;

/** Generations of one service that wait for their first attempt, in the order determined by admission. */
final class ServiceQueue {
    private static final int TYPICAL_BATCH_SIZE = 16;

    private final AdmissionQueue queue;
    private final DispatchPolicy policy = DispatchPolicy.defaults();
    private final LengthEstimator lengthEstimator = new LengthEstimator();
    private final EngineRouter router;
    private final EngineSpeed speed;
    private final Map<RequestId, Waiting> waiting = new HashMap<>();

    ServiceQueue(AdmissionQueue queue, EngineRouter router, EngineSpeed speed) {
        this.queue = queue;
        this.router = router;
        this.speed = speed;
    }

    EngineRouter router() {
        return router;
    }

    int size() {
        return queue.size();
    }

    /** Enqueues a request; returns the requests to be refused, which may include this one, with their outcomes. */
    List<Refusal> offer(ActiveRequest request, long now) {
        List<Refusal> refusals = new ArrayList<>();
        WaitingRequest work = waitingWork(request);
        waiting.put(request.id(), new Waiting(request, work));
        if (queue.offer(work, now) instanceof AdmissionDecision.Refused refused) {
            waiting.remove(request.id());
            refusals.add(new Refusal(request, refusalOutcome(refused)));
        }
        for (EvictedRequest displaced : queue.evict(now)) {
            Waiting displacedRequest = waiting.remove(displaced.request().id());
            if (displacedRequest != null) {
                refusals.add(new Refusal(displacedRequest.request(), refusalOutcome(displaced.refusal())));
            }
        }
        return refusals;
    }

    /** Decides on the next request. The caller repeats the call until it returns {@link QueueStep.Idle}. */
    QueueStep next(Predicate<String> isAvailable, long now) {
        Optional<WaitingRequest> next = queue.next();
        if (next.isEmpty()) {
            return new QueueStep.Idle();
        }
        WaitingRequest work = next.get();
        ActiveRequest request = waiting.get(work.id()).request();
        Optional<RoutingDecision> decision = router.decide(request, estimate(request), isAvailable, now);
        return switch (policy.decide(work, decision, now)) {
            case DispatchDecision.Send send -> new QueueStep.Send(request, send.decision());
            case DispatchDecision.Wait ignored -> new QueueStep.Idle();
            case DispatchDecision.Refuse giveUp -> {
                queue.removeRefused(work, now);
                waiting.remove(work.id());
                yield new QueueStep.Refuse(new Refusal(request, refusalOutcome(giveUp.refusal())));
            }
        };
    }

    /** Removes a request that is dispatched as decided. */
    void removeDispatched(ActiveRequest request, RoutingDecision decision, long now) {
        queue.markDispatched(waiting.remove(request.id()).work(), now);
        router.recordDispatch(request, estimate(request), decision, now);
    }

    /** Removes a request whose caller has disconnected. */
    void cancel(ActiveRequest request) {
        if (waiting.remove(request.id()) != null) {
            queue.cancel(request.id());
        }
    }

    /** Updates the length estimates with a complete answer. */
    void recordAnswer(ActiveRequest request, int promptTokens, int outputTokens) {
        lengthEstimator.observe(request.kind().name(), promptTokens, 0, outputTokens);
    }

    /** Decides where to send a request that has had an attempt before; it does not queue behind others. */
    Optional<RoutingDecision> decideForRetry(ActiveRequest request, Predicate<String> isAvailable, long now) {
        return router.decide(request, estimate(request), isAvailable, now);
    }

    LengthEstimate estimate(ActiveRequest request) {
        return lengthEstimator.estimate(request.kind().name(), request.kind().longestOutputTokens());
    }

    private WaitingRequest waitingWork(ActiveRequest request) {
        LengthEstimate estimate = estimate(request);
        double prefillSeconds = speed.prefillSeconds(request.promptTokens() * (1 - estimate.cachedFraction()));
        double decodeSeconds = estimate.outputTokens() * speed.stepSeconds(TYPICAL_BATCH_SIZE);
        return new WaitingRequest(
                request.id(),
                request.document().team(),
                request.kind().name(),
                request.kind().weight(),
                request.deadlineAt(),
                prefillSeconds + decodeSeconds / TYPICAL_BATCH_SIZE,
                prefillSeconds + decodeSeconds);
    }

    private static Outcome.NotRun refusalOutcome(AdmissionDecision.Refused refused) {
        return new Outcome.NotRun(refused.reason(), refused.retryAfter(), refused.detail());
    }

    /** A waiting request and its entry in the admission queue. */
    private record Waiting(ActiveRequest request, WaitingRequest work) {}
}
