package org.aspenmoor.internal.serving;

import java.time.Duration;

/**
 * Refuses requests at once that would wait too long at a server.
 *
 * <p>For seconds or minutes, requests may arrive at one and a half times or twice the rate that engines can compute.
 * Queues that are limited only by the deadlines then grow until every answer starts just before its deadline: most
 * answers are late, many never complete, and engines compute for callers that have left. With queues of about the
 * objective, engines are just as busy, accepted requests are answered on time, and the other callers are refused while
 * they still have time to retry.
 */
final class QueueLimit {
    /**
     * The maximum queue as a multiple of the objective. With 1, engines are idle after a burst until refused callers
     * retry.
     */
    private static final double MAX_QUEUE_OBJECTIVES = 1.5;

    /**
     * Fraction of a prompt's own work by which its maximum wait is reduced, so that a long prompt is queued only where
     * few requests would wait behind it.
     */
    private static final double OWN_WORK_FRACTION = 0.5;

    private static final double NANOSECONDS_PER_SECOND = 1e9;

    private QueueLimit() {}

    /** Returns the placement, or a refusal if it cannot answer in time or the queue is too long. */
    static Placement applyTo(Placement placement, PlacementRequest request) {
        return switch (placement) {
            case Placement.SingleServer single -> {
                double maxQueueSeconds = maxQueueSeconds(request, single.promptSeconds());
                yield limit(single, single.queueSeconds(), maxQueueSeconds, single.answerStartSeconds(), request);
            }
            case Placement.Disaggregated disaggregated -> {
                double maxQueueSeconds = maxQueueSeconds(request, disaggregated.promptSeconds());
                yield limit(
                        disaggregated,
                        disaggregated.queueSeconds(),
                        maxQueueSeconds,
                        disaggregated.answerStartSeconds(),
                        request);
            }
            case Placement.Queued queued -> queued;
            case Placement.Refused refused -> refused;
        };
    }

    /** An answer that has started is not interrupted in favour of other requests. */
    private static double maxQueueSeconds(PlacementRequest request, double promptSeconds) {
        if (request.answerStarted() || request.prompt().isEmpty()) {
            return Double.MAX_VALUE;
        }
        double objectiveSeconds = request.objective().toNanos() / NANOSECONDS_PER_SECOND;
        return Math.max(0, MAX_QUEUE_OBJECTIVES * objectiveSeconds - OWN_WORK_FRACTION * promptSeconds);
    }

    private static Placement limit(
            Placement placement,
            double queueSeconds,
            double maxQueueSeconds,
            double answerStartSeconds,
            PlacementRequest request) {
        double secondsLeft = request.timeLeft().toNanos() / NANOSECONDS_PER_SECOND;
        if (answerStartSeconds > secondsLeft) {
            String reason = String.format(
                    "the answer would start in %.2f s but only %.2f s are left", answerStartSeconds, secondsLeft);
            return new Placement.Refused(reason, toDuration(Math.max(queueSeconds, answerStartSeconds - secondsLeft)));
        }
        if (queueSeconds > maxQueueSeconds) {
            String reason = String.format(
                    "%.2f s of work are queued at the chosen server, the limit is %.2f s",
                    queueSeconds, maxQueueSeconds);
            return new Placement.Refused(reason, toDuration(queueSeconds));
        }
        return placement;
    }

    private static Duration toDuration(double seconds) {
        return Duration.ofNanos((long) (seconds * NANOSECONDS_PER_SECOND));
    }
}
