package org.aspenmoor.internal.serving;

import java.time.Duration;

/**
 * Which requests are refused at once because they would wait at a server for too long.
 *
 * <p>The load it answers: for seconds or minutes, half as many requests again as engines can compute, or twice as many.
 * Queues that are limited by the deadlines alone grow until every answer begins just before its deadline; most of them
 * late, many not at all, and engines compute for callers who are gone. With a queue of about the objective, engines are as
 * busy, those who are taken are served on time, and the others hear so while they can still come back.
 */
final class QueueLimit {
    /** The longest queue, in objectives. With one, engines idle after a burst while refused callers are away. */
    private static final double MAX_OBJECTIVES = 1.5;

    /** Part of its own work by which a prompt may wait less: a long one queues only where few would wait behind it. */
    private static final double OWN_WORK_FRACTION = 0.5;

    private static final double NANOSECONDS_PER_SECOND = 1e9;

    private QueueLimit() {}

    /** Returns the placement, or a refusal where it cannot answer in time or the queue is too long. */
    static Placement applyTo(Placement placement, PlacementRequest request) {
        return switch (placement) {
            case Placement.SingleServer single -> {
                double maxQueueSeconds = maxQueueSeconds(request, single.promptSeconds());
                yield limit(single, single.queueSeconds(), maxQueueSeconds, single.answerStartSeconds(), request);
            }
            case Placement.Disaggregated disaggregated -> {
                double maxQueueSeconds = maxQueueSeconds(request, disaggregated.promptSeconds());
                yield limit(disaggregated, disaggregated.queueSeconds(), maxQueueSeconds, disaggregated.answerStartSeconds(), request);
            }
            case Placement.Queued queued -> queued;
            case Placement.Refused refused -> refused;
        };
    }

    /** An answer that has begun is not broken off for the sake of others. */
    private static double maxQueueSeconds(PlacementRequest request, double promptSeconds) {
        if (request.answerStarted() || request.prompt().isEmpty()) {
            return Double.MAX_VALUE;
        }
        double objective = request.objective().toNanos() / NANOSECONDS_PER_SECOND;
        return Math.max(0, MAX_OBJECTIVES * objective - OWN_WORK_FRACTION * promptSeconds);
    }

    private static Placement limit(
            Placement placement, double queueSeconds, double maxQueueSeconds, double answerStartSeconds, PlacementRequest request) {
        double secondsLeft = request.timeLeft().toNanos() / NANOSECONDS_PER_SECOND;
        if (answerStartSeconds > secondsLeft) {
            String reason = String.format("the answer would begin in %.2f s and %.2f s are left", answerStartSeconds, secondsLeft);
            return new Placement.Refused(reason, duration(Math.max(queueSeconds, answerStartSeconds - secondsLeft)));
        }
        if (queueSeconds > maxQueueSeconds) {
            String reason = String.format("%.2f s of work wait at the least busy server, %.2f s may", queueSeconds, maxQueueSeconds);
            return new Placement.Refused(reason, duration(queueSeconds));
        }
        return placement;
    }

    private static Duration duration(double seconds) {
        return Duration.ofNanos((long) (seconds * NANOSECONDS_PER_SECOND));
    }
}
