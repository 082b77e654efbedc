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
import org.aspenmoor.internal.admission.DispatchPolicy;
import org.aspenmoor.internal.admission.DispatchDecision;
import org.aspenmoor.internal.admission.EvictedRequest;
import org.aspenmoor.internal.admission.LengthEstimate;
import org.aspenmoor.internal.admission.LengthEstimator;
import org.aspenmoor.internal.admission.WaitingRequest;
import org.aspenmoor.internal.routing.EngineSpeed;
import org.aspenmoor.internal.routing.RoutingDecision;

/** Generations of one service that wait for their first attempt, in the order that admission gives them. */
final class ServiceQueue {
    private static final int USUAL_BATCH = 16;

    private final AdmissionQueue queue;
    private final DispatchPolicy policy = DispatchPolicy.defaults();
    private final LengthEstimator lengths = new LengthEstimator();
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

    /** Takes a request in; returns those that have to be refused, this one or others, with the answer for each. */
    List<Refusal> offer(ActiveRequest request, long now) {
        List<Refusal> refusals = new ArrayList<>();
        WaitingRequest work = workOf(request);
        waiting.put(request.id(), new Waiting(request, work));
        if (queue.offer(work, now) instanceof AdmissionDecision.Refused refused) {
            waiting.remove(request.id());
            refusals.add(new Refusal(request, outcome(refused)));
        }
        for (EvictedRequest displaced : queue.evict(now)) {
            Waiting loser = waiting.remove(displaced.request().id());
            if (loser != null) {
                refusals.add(new Refusal(loser.request(), outcome(displaced.refusal())));
            }
        }
        return refusals;
    }

    /** Decides on the request that is next; the caller repeats it while it gives a step that is not to wait. */
    QueueStep next(Predicate<String> open, long now) {
        Optional<WaitingRequest> next = queue.next();
        if (next.isEmpty()) {
            return new QueueStep.Rest();
        }
        WaitingRequest work = next.get();
        ActiveRequest request = waiting.get(work.id()).request();
        Optional<RoutingDecision> decision = router.decide(request, estimate(request), open, now);
        return switch (policy.decide(work, decision, now)) {
            case DispatchDecision.Send send -> new QueueStep.Send(request, send.decision());
            case DispatchDecision.Wait ignored -> new QueueStep.Rest();
            case DispatchDecision.Refuse giveUp -> {
                queue.removeRefused(work, now);
                waiting.remove(work.id());
                yield new QueueStep.Refuse(new Refusal(request, outcome(giveUp.refusal())));
            }
        };
    }

    /** Takes a request out because it is being sent as decided. */
    void sent(ActiveRequest request, RoutingDecision decision, long now) {
        queue.markDispatched(waiting.remove(request.id()).work(), now);
        router.sent(request, estimate(request), decision, now);
    }

    /** Takes a request out because its caller has gone. */
    void cancel(ActiveRequest request) {
        if (waiting.remove(request.id()) != null) {
            queue.cancel(request.id());
        }
    }

    /** Learns the length of a whole answer. */
    void answered(ActiveRequest request, int promptTokens, int outputTokens) {
        lengths.observe(request.kind().name(), promptTokens, 0, outputTokens);
    }

    /** Decides where a request goes on that has had an attempt before; it does not wait behind others. */
    Optional<RoutingDecision> decideAgain(ActiveRequest request, Predicate<String> open, long now) {
        return router.decide(request, estimate(request), open, now);
    }

    LengthEstimate estimate(ActiveRequest request) {
        return lengths.estimate(request.kind().name(), request.kind().longestOutputTokens());
    }

    private WaitingRequest workOf(ActiveRequest request) {
        LengthEstimate estimate = estimate(request);
        double prefill = speed.prefillSeconds(request.promptTokens() * (1 - estimate.cachedFraction()));
        double decode = estimate.outputTokens() * speed.stepSeconds(USUAL_BATCH);
        return new WaitingRequest(
                request.id(),
                request.document().team(),
                request.kind().name(),
                request.kind().weight(),
                request.deadlineAt(),
                prefill + decode / USUAL_BATCH,
                prefill + decode);
    }

    private static Outcome.NotRun outcome(AdmissionDecision.Refused refused) {
        return new Outcome.NotRun(refused.reason(), refused.retryAfter(), refused.detail());
    }

    /** A request that waits, as it stands in the queue. */
    private record Waiting(ActiveRequest request, WaitingRequest work) {}
}
