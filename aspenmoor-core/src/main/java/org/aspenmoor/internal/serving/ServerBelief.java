package org.aspenmoor.internal.serving;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * What this entry believes of one backend server: its own requests there, what answers told, and its health.
 *
 * <p>An entry sees only its own part of the traffic. What the others send shows in two ways: the load that comes with
 * answers, and answers that begin later than this entry's own work explains. Both age within seconds.
 */
final class ServerBelief {
    private static final double NANOSECONDS = 1e9;
    private static final double LEARNING_SHARE = 0.3;

    /** Half-life of what an answer told; the load of a busy server changes within about a second. */
    private static final double HALF_LIFE_SECONDS = 1.0;

    private BackendServer server;
    private final ServerHealth health = new ServerHealth();
    private final CacheBelief cache;
    private final Deque<PlacedWork> unanswered = new ArrayDeque<>();
    private ReportedLoad reported = new ReportedLoad(0, 0, 1);
    private long reportedAt;
    private int outstandingAtReport;
    private int outstanding;
    private double delaySeconds;
    private long delayAt;
    private double busyUntilSeconds;
    private long lastAnswerAt = Long.MIN_VALUE;

    ServerBelief(BackendServer server, int cacheTokens) {
        this.server = server;
        this.cache = new CacheBelief(cacheTokens);
    }

    BackendServer server() {
        return server;
    }

    void update(BackendServer newer) {
        server = newer;
    }

    ServerHealth health() {
        return health;
    }

    CacheBelief cache() {
        return cache;
    }

    int outstanding() {
        return outstanding;
    }

    void placed(PlacedWork work) {
        outstanding++;
        unanswered.addLast(work);
        busyUntilSeconds = Math.max(busyUntilSeconds, seconds(work.atNanoseconds())) + work.expectedSeconds();
    }

    /** Notes the first byte of the answer to a piece of work. */
    void answerBegan(PlacedWork work, long now) {
        lastAnswerAt = now;
        if (!unanswered.remove(work)) {
            return;
        }
        double late = (now - work.atNanoseconds()) / NANOSECONDS - work.expectedSeconds();
        delaySeconds = delaySeconds(now) + LEARNING_SHARE * (Math.max(0, late) - delaySeconds(now));
        delayAt = now;
    }

    long lastAnswerAt() {
        return lastAnswerAt;
    }

    void ended(PlacedWork work) {
        unanswered.remove(work);
        outstanding = Math.max(0, outstanding - 1);
    }

    void reported(ReportedLoad load, long now) {
        reported = load;
        reportedAt = now;
        outstandingAtReport = outstanding;
    }

    /** Returns the requests at the server: what it last told, faded, with this entry's own since then. */
    double requests(long now) {
        double others = Math.max(0, reported.running() + reported.waiting() - outstandingAtReport);
        return outstanding + others * faded(now - reportedAt);
    }

    /** Returns how long a new request probably waits before the server turns to it. */
    double waitSeconds(long now) {
        double own = Math.max(0, busyUntilSeconds - seconds(now));
        return Math.max(Math.max(own, delaySeconds(now)), overdueSeconds(now));
    }

    /** A server that has stopped answering shows first in the age of its oldest unanswered request. */
    private double overdueSeconds(long now) {
        PlacedWork oldest = unanswered.peekFirst();
        if (oldest == null) {
            return 0;
        }
        return Math.max(0, (now - oldest.atNanoseconds()) / NANOSECONDS - oldest.expectedSeconds());
    }

    private double delaySeconds(long now) {
        return delaySeconds * faded(now - delayAt);
    }

    private static double faded(long ageNanoseconds) {
        return Math.pow(0.5, Math.max(0, ageNanoseconds) / NANOSECONDS / HALF_LIFE_SECONDS);
    }

    private static double seconds(long nanoseconds) {
        return nanoseconds / NANOSECONDS;
    }
}
