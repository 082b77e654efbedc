package org.aspenmoor.internal.admission;

import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import org.aspenmoor.RefusalReason;
import org.aspenmoor.internal.routing.RoutingDecision;

/**
 * Decides whether the next request of the queue is sent now.
 *
 * <p>Requests wait in this queue and not at the engines, because only this queue orders all requests by weight: in a
 * long engine queue, requests of low weight would run before requests of greater weight that arrive shortly after
 * them.
 */
public final class DispatchPolicy {
    private static final double NANOSECONDS_PER_SECOND = 1e9;
    private static final double DEFAULT_MAX_ENGINE_WAIT_SECONDS = 0.3;

    private final double maxEngineWaitSeconds;

    public DispatchPolicy(double maxEngineWaitSeconds) {
        this.maxEngineWaitSeconds = maxEngineWaitSeconds;
    }

    /** Returns the policy with the default maximum wait at an engine. */
    public static DispatchPolicy defaults() {
        return new DispatchPolicy(DEFAULT_MAX_ENGINE_WAIT_SECONDS);
    }

    /** Decides about the next request; {@code decision} is the router's choice, empty if no engine is available. */
    public DispatchDecision decide(WaitingRequest request, Optional<RoutingDecision> decision, long nowNanoseconds) {
        double remainingSeconds = (request.deadlineNanoseconds() - nowNanoseconds) / NANOSECONDS_PER_SECOND;
        if (decision.isEmpty()) {
            return remainingSeconds < request.serviceSeconds()
                    ? refuse(request.serviceSeconds(), remainingSeconds)
                    : new DispatchDecision.Wait();
        }
        double finishSeconds = decision.get().finishSeconds();
        if (finishSeconds > remainingSeconds) {
            return refuse(finishSeconds, remainingSeconds);
        }
        return decision.get().queueSeconds() > maxEngineWaitSeconds
                ? new DispatchDecision.Wait()
                : new DispatchDecision.Send(decision.get());
    }

    private static DispatchDecision refuse(double finishSeconds, double remainingSeconds) {
        Duration retryAfter =
                Duration.ofMillis((long) (1000 * Math.max(0.05, finishSeconds - Math.max(0, remainingSeconds))));
        String detail = String.format(
                Locale.ROOT,
                "The answer would take another %.2f s, but the deadline is in %.2f s.",
                finishSeconds,
                Math.max(0, remainingSeconds));
        return new DispatchDecision.Refuse(
                new AdmissionDecision.Refused(RefusalReason.CANNOT_FINISH_IN_TIME, retryAfter, detail));
    }
}
