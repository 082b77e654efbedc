package org.aspenmoor.internal.serving.stop;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Decides which requests may still be sent to servers while the process is stopping.
 *
 * <p>A request that is at work when the process ends is lost to its caller, who may not send it again if it is not
 * idempotent. Another entry can serve it. A request is therefore sent only if its deadline, or what the answers of its
 * route took recently, says that it ends before the process does. Times are in nanoseconds of the monotonic clock.
 */
public final class StopAdmission {
    private final Map<String, AnswerTimes> answerTimes = new HashMap<>();
    private OptionalLong endsAt = OptionalLong.empty();

    /** Records how long an answer took, from sending its request to a server until it was complete. */
    public void answered(String route, Duration taken, long now) {
        AnswerTimes times = answerTimes.get(route);
        if (times == null) {
            // Routes come and go with configurations; those that are gone have no recent answers.
            answerTimes.values().removeIf(each -> each.isEmpty(now));
            times = new AnswerTimes(now);
            answerTimes.put(route, times);
        }
        times.add(taken, now);
    }

    /** Records that an attempt ended without a complete answer after the time; it would have taken longer. */
    public void unfinished(String route, Duration taken, long now) {
        boolean longerThanKnown =
                expected(route, now).map(known -> taken.compareTo(known) > 0).orElse(false);
        if (longerThanKnown) {
            answered(route, taken, now);
        }
    }

    /** Sets until when the process serves requests; it is stopping from now on. */
    public void stop(long newEndsAt) {
        endsAt = OptionalLong.of(newEndsAt);
    }

    /**
     * Returns why a request must not be sent to a server; empty if it may be.
     *
     * @param deadline when the request ends at the latest
     * @param startsAt when the server starts with it, or has started with its first part
     */
    public Optional<StopRefusal> refusal(String route, long deadline, long startsAt, long now) {
        if (endsAt.isEmpty() || deadline <= endsAt.getAsLong()) {
            return Optional.empty();
        }
        Optional<Duration> expected = expected(route, now);
        boolean endsInTime = expected.map(time -> startsAt + time.toNanos() <= endsAt.getAsLong())
                .orElse(false);
        Duration left = Duration.ofNanos(Math.max(0, endsAt.getAsLong() - now));
        return endsInTime ? Optional.empty() : Optional.of(new StopRefusal(left, expected));
    }

    private Optional<Duration> expected(String route, long now) {
        return Optional.ofNullable(answerTimes.get(route)).flatMap(times -> times.high(now));
    }
}
