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
    private static final double NANOSECONDS = 1e9;
    private static final double USUAL_MOST_ENGINE_WAIT_SECONDS = 0.3;

    private final double mostEngineWaitSeconds;

    public DispatchPolicy(double mostEngineWaitSeconds) {
        this.mostEngineWaitSeconds = mostEngineWaitSeconds;
    }

    /** Returns the policy that the policy bench was tuned with. */
    public static DispatchPolicy usual() {
        return new DispatchPolicy(USUAL_MOST_ENGINE_WAIT_SECONDS);
    }

    /** Judges the next request by what the router would do with it; empty where no engine is open to it. */
    public DispatchVerdict judge(WaitingWork work, Optional<RoutingDecision> decision, long nowNanoseconds) {
        double leftSeconds = (work.deadlineNanoseconds() - nowNanoseconds) / NANOSECONDS;
        if (decision.isEmpty()) {
            return leftSeconds < work.serviceSeconds()
                    ? giveUp(work.serviceSeconds(), leftSeconds)
                    : new DispatchVerdict.Wait();
        }
        double finishSeconds = decision.get().finishSeconds();
        if (finishSeconds > leftSeconds) {
            return giveUp(finishSeconds, leftSeconds);
        }
        return decision.get().queueSeconds() > mostEngineWaitSeconds
                ? new DispatchVerdict.Wait()
                : new DispatchVerdict.Send(decision.get());
    }

    private static DispatchVerdict giveUp(double finishSeconds, double leftSeconds) {
        Duration comeBackAfter =
                Duration.ofMillis((long) (1000 * Math.max(0.05, finishSeconds - Math.max(0, leftSeconds))));
        String detail = String.format(
                Locale.ROOT,
                "The answer would take %.2f s more and the deadline leaves %.2f s.",
                finishSeconds,
                Math.max(0, leftSeconds));
        return new DispatchVerdict.GiveUp(
                new AdmissionDecision.Refused(RefusalReason.CANNOT_FINISH_IN_TIME, comeBackAfter, detail));
    }
}
