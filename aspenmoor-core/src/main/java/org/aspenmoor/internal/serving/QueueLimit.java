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
    private static final double MOST_OBJECTIVES = 1.5;

    /** Part of its own work by which a prompt may wait less: a long one queues only where few would wait behind it. */
    private static final double OWN_WORK_SHARE = 0.5;

    private static final double NANOSECONDS = 1e9;

    private QueueLimit() {}

    /** Returns the placement, or a refusal where it cannot answer in time or the queue is too long. */
    static Placement applied(Placement placement, PlacementRequest request) {
        return switch (placement) {
            case Placement.Whole whole -> {
                double most = mostQueueSeconds(request, whole.promptSeconds());
                yield limited(whole, whole.queueSeconds(), most, whole.expectedSeconds(), request);
            }
            case Placement.Staged staged -> {
                double most = mostQueueSeconds(request, staged.promptSeconds());
                yield limited(staged, staged.queueSeconds(), most, staged.expectedSeconds(), request);
            }
            case Placement.Held held -> held;
            case Placement.Refused refused -> refused;
        };
    }

    /** An answer that has begun is not broken off for the sake of others. */
    private static double mostQueueSeconds(PlacementRequest request, double promptSeconds) {
        if (request.answerBegun() || request.prompt().isEmpty()) {
            return Double.MAX_VALUE;
        }
        double objective = request.objective().toNanos() / NANOSECONDS;
        return Math.max(0, MOST_OBJECTIVES * objective - OWN_WORK_SHARE * promptSeconds);
    }

    private static Placement limited(
            Placement placement, double queue, double mostQueue, double expected, PlacementRequest request) {
        double left = request.timeLeft().toNanos() / NANOSECONDS;
        if (expected > left) {
            String reason = String.format("the answer would begin in %.2f s and %.2f s are left", expected, left);
            return new Placement.Refused(reason, duration(Math.max(queue, expected - left)));
        }
        if (queue > mostQueue) {
            String reason = String.format("%.2f s of work wait at the least busy server, %.2f s may", queue, mostQueue);
            return new Placement.Refused(reason, duration(queue));
        }
        return placement;
    }

    private static Duration duration(double seconds) {
        return Duration.ofNanos((long) (seconds * NANOSECONDS));
    }
}
