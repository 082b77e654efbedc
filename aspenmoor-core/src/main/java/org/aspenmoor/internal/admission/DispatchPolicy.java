package org.aspenmoor.internal.admission;

import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import org.aspenmoor.RefusalReason;
import org.aspenmoor.internal.routing.RoutingDecision;

/**
 * Decides whether the next request leaves the queue now.
 *
 * <p>Work waits in the queue and not at the engines, because only the queue sees all weights: a long engine queue
 * would let light work run before heavy work that arrives a moment later.
 */
public final class DispatchPolicy {
    private static final double NANOSECONDS_PER_SECOND = 1e9;
    private static final double DEFAULT_MAX_ENGINE_WAIT_SECONDS = 0.3;

    private final double maxEngineWaitSeconds;

    public DispatchPolicy(double maxEngineWaitSeconds) {
        this.maxEngineWaitSeconds = maxEngineWaitSeconds;
    }

    /** Returns the policy that the policy bench was tuned with. */
    public static DispatchPolicy defaults() {
        return new DispatchPolicy(DEFAULT_MAX_ENGINE_WAIT_SECONDS);
    }

    /** Judges the next request by what the router would do with it; empty where no engine is open to it. */
    public DispatchDecision decide(WaitingWork work, Optional<RoutingDecision> decision, long nowNanoseconds) {
        double remainingSeconds = (work.deadlineNanoseconds() - nowNanoseconds) / NANOSECONDS_PER_SECOND;
        if (decision.isEmpty()) {
            return remainingSeconds < work.serviceSeconds()
                    ? refuse(work.serviceSeconds(), remainingSeconds)
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
                "The answer would take %.2f s more and the deadline leaves %.2f s.",
                finishSeconds,
                Math.max(0, remainingSeconds));
        return new DispatchDecision.Refuse(
                new AdmissionDecision.Refused(RefusalReason.CANNOT_FINISH_IN_TIME, retryAfter, detail));
    }
}
