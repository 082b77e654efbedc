package org.aspenmoor.internal.bench.replay.run;

/** What became of one caller. */
final class AskOutcome {
    private static final double NANOSECONDS = 1e9;

    private final CallerAsk ask;
    private long firstEventAt;
    private long lastEventAt;
    private long longestPause;
    private int tries = 1;
    private AskEnd end = AskEnd.OPEN;
    private double refusedAfterSeconds;

    AskOutcome(CallerAsk ask) {
        this.ask = ask;
    }

    CallerAsk ask() {
        return ask;
    }

    int tries() {
        return tries;
    }

    void triedAgain() {
        tries++;
    }

    void event(long now) {
        if (firstEventAt == 0) {
            firstEventAt = now;
        } else {
            longestPause = Math.max(longestPause, now - lastEventAt);
        }
        lastEventAt = now;
    }

    void ended(AskEnd how, long now) {
        end = how;
        if (how == AskEnd.REFUSED) {
            refusedAfterSeconds = (now - ask.askedAt()) / NANOSECONDS;
        }
    }

    AskEnd end() {
        return end;
    }

    double refusedAfterSeconds() {
        return refusedAfterSeconds;
    }

    boolean served() {
        return end == AskEnd.COMPLETE;
    }

    boolean onTime() {
        boolean beganInTime =
                firstEventAt - ask.askedAt() <= ask.kind().objective().toNanos();
        return served()
                && beganInTime
                && longestPause <= ask.kind().longestPause().toNanos();
    }

    /** Returns what it earns, as a part of what it would on time. */
    double earned() {
        if (!served()) {
            return 0;
        }
        return onTime() ? 1 : ask.kind().lateWorth() / ask.kind().worth();
    }
}
