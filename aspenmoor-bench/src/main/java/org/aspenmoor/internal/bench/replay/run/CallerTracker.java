package org.aspenmoor.internal.bench.replay.run;

/** Records the attempts, event times and final result of one caller. */
final class CallerTracker {
    private static final double NANOSECONDS = 1e9;

    private final CallerRequest request;
    private long firstEventAt;
    private long lastEventAt;
    private long maxEventInterval;
    private int attempts = 1;
    private CallerResult result = CallerResult.OPEN;
    private double refusedAfterSeconds;

    CallerTracker(CallerRequest request) {
        this.request = request;
    }

    CallerRequest request() {
        return request;
    }

    int attempts() {
        return attempts;
    }

    void retried() {
        attempts++;
    }

    void eventReceived(long now) {
        if (firstEventAt == 0) {
            firstEventAt = now;
        } else {
            maxEventInterval = Math.max(maxEventInterval, now - lastEventAt);
        }
        lastEventAt = now;
    }

    void ended(CallerResult finalResult, long now) {
        result = finalResult;
        if (finalResult == CallerResult.REFUSED) {
            refusedAfterSeconds = (now - request.requestedAt()) / NANOSECONDS;
        }
    }

    CallerResult result() {
        return result;
    }

    double refusedAfterSeconds() {
        return refusedAfterSeconds;
    }

    boolean served() {
        return result == CallerResult.COMPLETE;
    }

    boolean onTime() {
        boolean startedInTime = firstEventAt - request.requestedAt()
                <= request.kind().objective().toNanos();
        return served()
                && startedInTime
                && maxEventInterval <= request.kind().maxEventInterval().toNanos();
    }

    /** Returns the earned value as a fraction of the value of an answer on time. */
    double earnedFraction() {
        if (!served()) {
            return 0;
        }
        return onTime() ? 1 : request.kind().lateValue() / request.kind().value();
    }
}
