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
import org.aspenmoor.internal.admission.DispatchVerdict;
import org.aspenmoor.internal.admission.Displaced;
import org.aspenmoor.internal.admission.LengthEstimate;
import org.aspenmoor.internal.admission.LengthEstimator;
import org.aspenmoor.internal.admission.WaitingWork;
import org.aspenmoor.internal.routing.EngineSpeed;
import org.aspenmoor.internal.routing.RoutingDecision;

/** Generations of one service that wait for their first attempt, in the order that admission gives them. */
final class ServiceQueue {
    private static final int TYPICAL_BATCH_SIZE = 16;

    private final AdmissionQueue queue;
    private final DispatchPolicy policy = DispatchPolicy.usual();
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

    /** Takes a request in; returns those that have to be refused, this one or others, with the answer for each. */
    List<Refusal> offer(ActiveRequest request, long now) {
        List<Refusal> refusals = new ArrayList<>();
        WaitingWork work = waitingWork(request);
        waiting.put(request.id(), new Waiting(request, work));
        if (queue.offer(work, now) instanceof AdmissionDecision.Refused refused) {
            waiting.remove(request.id());
            refusals.add(new Refusal(request, refusalOutcome(refused)));
        }
        for (Displaced displaced : queue.displaced(now)) {
            Waiting displacedRequest = waiting.remove(displaced.work().id());
            if (displacedRequest != null) {
                refusals.add(new Refusal(displacedRequest.request(), refusalOutcome(displaced.refusal())));
            }
        }
        return refusals;
    }

    /** Decides on the request that is next; the caller repeats it while it gives a step that is not to wait. */
    QueueStep next(Predicate<String> isAvailable, long now) {
        Optional<WaitingWork> next = queue.next();
        if (next.isEmpty()) {
            return new QueueStep.Idle();
        }
        WaitingWork work = next.get();
        ActiveRequest request = waiting.get(work.id()).request();
        Optional<RoutingDecision> decision = router.decide(request, estimate(request), isAvailable, now);
        return switch (policy.judge(work, decision, now)) {
            case DispatchVerdict.Send send -> new QueueStep.Send(request, send.decision());
            case DispatchVerdict.Wait ignored -> new QueueStep.Idle();
            case DispatchVerdict.GiveUp giveUp -> {
                queue.giveUp(work, now);
                waiting.remove(work.id());
                yield new QueueStep.Refuse(new Refusal(request, refusalOutcome(giveUp.refusal())));
            }
        };
    }

    /** Takes a request out because it is being sent as decided. */
    void recordDispatch(ActiveRequest request, RoutingDecision decision, long now) {
        queue.take(waiting.remove(request.id()).work(), now);
        router.recordDispatch(request, estimate(request), decision, now);
    }

    /** Takes a request out because its caller has gone. */
    void cancel(ActiveRequest request) {
        if (waiting.remove(request.id()) != null) {
            queue.cancel(request.id());
        }
    }

    /** Learns the length of a whole answer. */
    void recordAnswer(ActiveRequest request, int promptTokens, int outputTokens) {
        lengthEstimator.seen(request.kind().name(), promptTokens, 0, outputTokens);
    }

    /** Decides where a request goes on that has had an attempt before; it does not wait behind others. */
    Optional<RoutingDecision> decideForRetry(ActiveRequest request, Predicate<String> isAvailable, long now) {
        return router.decide(request, estimate(request), isAvailable, now);
    }

    LengthEstimate estimate(ActiveRequest request) {
        return lengthEstimator.estimate(request.kind().name(), request.kind().longestOutputTokens());
    }

    private WaitingWork waitingWork(ActiveRequest request) {
        LengthEstimate estimate = estimate(request);
        double prefillSeconds = speed.prefillSeconds(request.promptTokens() * (1 - estimate.cachedShare()));
        double decodeSeconds = estimate.outputTokens() * speed.stepSeconds(TYPICAL_BATCH_SIZE);
        return new WaitingWork(
                request.id(),
                request.document().team(),
                request.kind().name(),
                request.kind().weight(),
                request.deadlineAt(),
                prefillSeconds + decodeSeconds / TYPICAL_BATCH_SIZE,
                prefillSeconds + decodeSeconds);
    }

    private static Outcome.NotRun refusalOutcome(AdmissionDecision.Refused refused) {
        return new Outcome.NotRun(refused.reason(), refused.comeBackAfter(), refused.detail());
    }

    /** A request that waits, as it stands in the queue. */
    private record Waiting(ActiveRequest request, WaitingWork work) {}
}
