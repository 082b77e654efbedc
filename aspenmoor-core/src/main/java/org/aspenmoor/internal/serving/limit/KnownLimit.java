package org.aspenmoor.internal.serving.limit;

import java.time.Duration;
import java.util.Optional;

/**
 * The limit that one incarnation of a server has stated, as far as this entry knows. Confined to one thread; times are
 * nanoseconds of the monotonic clock.
 *
 * <p>Answers overtake each other, and other entries report what they have heard. A server writes a statement at some time
 * between the arrival of the request and that of its answer. Of two statements of which either may be the later one, the
 * limit holds: one that is overlooked is exceeded, and one that has ended is given up with the next answer.
 */
public final class KnownLimit {
    /**
     * For how long the end of a limit is reported, so that each entry hears of it although reports get lost; and again
     * when another entry reports the limit that has ended.
     */
    private static final long END_REPORTED_NANOSECONDS = Duration.ofSeconds(5).toNanos();

    private Optional<Double> requestsPerSecond = Optional.empty();
    private long statedToRequestSentAt = Long.MIN_VALUE;
    private long limitReceivedAt = Long.MIN_VALUE;
    private long endReportedSince = Long.MIN_VALUE;
    private boolean outdatedSeen;
    private boolean unreadableSeen;

    /** Returns the limit; empty if there is none. */
    public Optional<Double> requestsPerSecond() {
        return requestsPerSecond;
    }

    /** Applies the statement in the answer to a request that was sent at the given time. */
    public LimitUpdate apply(LimitStatement statement, long requestSentAt, long now) {
        return switch (statement) {
            case LimitStatement.Missing missing -> new LimitUpdate.Unchanged();
            case LimitStatement.Unlimited unlimited -> replaceIfNewer(Optional.empty(), requestSentAt, now);
            case LimitStatement.Limited limited -> {
                limitReceivedAt = now;
                yield replace(Optional.of(limited.requestsPerSecond()), requestSentAt, now);
            }
            case LimitStatement.Unreadable unreadable -> recordUnreadable(unreadable);
        };
    }

    /**
     * Applies what another entry knows. If it knows the same, nothing changes: the report seems younger by the time it
     * was under way, and entries that repeat a statement to each other would take it for newer than its end.
     */
    public LimitUpdate applyReported(StatedLimit reported, long now) {
        if (reported.requestsPerSecond().equals(requestsPerSecond)) {
            return new LimitUpdate.Unchanged();
        }
        LimitUpdate update = replaceIfNewer(
                reported.requestsPerSecond(), now - reported.age().toNanos(), now);
        if (requestsPerSecond.isEmpty()) {
            endReportedSince = now;
        }
        return update;
    }

    /** Returns the time since the request was sent whose answer stated the limit; empty if there is nothing to report. */
    public Optional<Duration> reportableAge(long now) {
        boolean endReported = endReportedSince != Long.MIN_VALUE && now - endReportedSince < END_REPORTED_NANOSECONDS;
        return requestsPerSecond.isPresent() || endReported
                ? Optional.of(Duration.ofNanos(now - statedToRequestSentAt))
                : Optional.empty();
    }

    private LimitUpdate replaceIfNewer(Optional<Double> stated, long requestSentAt, long now) {
        boolean newer = requestSentAt > statedToRequestSentAt && requestSentAt >= limitReceivedAt;
        return newer ? replace(stated, requestSentAt, now) : ignore(stated);
    }

    private LimitUpdate replace(Optional<Double> stated, long requestSentAt, long now) {
        statedToRequestSentAt = Math.max(statedToRequestSentAt, requestSentAt);
        if (stated.equals(requestsPerSecond)) {
            return new LimitUpdate.Unchanged();
        }
        if (stated.isEmpty()) {
            endReportedSince = now;
        }
        requestsPerSecond = stated;
        outdatedSeen = false;
        return new LimitUpdate.Changed(stated);
    }

    private LimitUpdate ignore(Optional<Double> stated) {
        if (outdatedSeen || stated.equals(requestsPerSecond)) {
            return new LimitUpdate.Unchanged();
        }
        outdatedSeen = true;
        return new LimitUpdate.Outdated(stated, requestsPerSecond);
    }

    private LimitUpdate recordUnreadable(LimitStatement.Unreadable unreadable) {
        if (unreadableSeen) {
            return new LimitUpdate.Unchanged();
        }
        unreadableSeen = true;
        return new LimitUpdate.FirstUnreadable(unreadable.text(), requestsPerSecond);
    }
}
