package org.aspenmoor.internal.serving;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * What this entry believes of one backend server: its own requests there, what the other entries and the server's answers
 * told, and its health.
 */
final class ServerBelief {
    private static final double NANOSECONDS = 1e9;

    /** Half-life of the load that came with an answer; that of a busy server changes within about a second. */
    private static final double HALF_LIFE_SECONDS = 1.0;

    /** Weight of one more answer in what is believed of a server's speed. */
    private static final double LEARNING_SHARE = 0.1;

    /** A server is not taken for slower than this, so that it gets enough work to show that it has recovered. */
    private static final double MOST_SLOWNESS = 6;

    /** Answers that were expected sooner say more of the way there than of the server's speed. */
    private static final double SHORTEST_JUDGED_SECONDS = 0.02;

    private final ServerHealth health = new ServerHealth();
    private final CacheBelief cache = new CacheBelief();
    private final Deque<PlacedWork> unanswered = new ArrayDeque<>();
    private BackendServer server;
    private int parallelism;
    private ReportedLoad reported = new ReportedLoad(0, 0, 1);
    private long reportedAt;
    private int outstandingAtReport;
    private int outstanding;
    private double unansweredSeconds;
    private double slowness = 1;
    private long lastAnswerAt = Long.MIN_VALUE;

    ServerBelief(BackendServer server, int cacheTokens) {
        update(server, cacheTokens);
    }

    BackendServer server() {
        return server;
    }

    /** Takes what the server says of itself; cache tokens are above zero where it runs a model. */
    void update(BackendServer newer, int cacheTokens) {
        if (server != null && server.role() != newer.role()) {
            health.roleChanged();
        }
        server = newer;
        parallelism = cacheTokens > 0 ? 1 : Math.max(1, newer.slots());
        cache.limit(cacheTokens);
    }

    ServerHealth health() {
        return health;
    }

    CacheBelief cache() {
        return cache;
    }

    long lastAnswerAt() {
        return lastAnswerAt;
    }

    /** Returns how many times longer than expected the server takes. */
    double slowness() {
        return slowness;
    }

    /** Returns this entry's own part of the load. */
    PeerShare ownShare() {
        return new PeerShare(unansweredSeconds, outstanding);
    }

    void placed(PlacedWork work) {
        outstanding++;
        unanswered.addLast(work);
        unansweredSeconds += work.workSeconds();
    }

    /** Notes the first byte of the answer to a piece of work. */
    void answerBegan(PlacedWork work, long now) {
        lastAnswerAt = now;
        if (!answered(work)) {
            return;
        }
        double took = (now - work.atNanoseconds()) / NANOSECONDS;
        double expected = Math.max(SHORTEST_JUDGED_SECONDS, work.answerSeconds());
        double ratio = Math.clamp(took / expected, 1, MOST_SLOWNESS);
        slowness += LEARNING_SHARE * (ratio - slowness);
    }

    void ended(PlacedWork work) {
        answered(work);
        outstanding = Math.max(0, outstanding - 1);
    }

    void reported(ReportedLoad load, long now) {
        reported = load;
        reportedAt = now;
        outstandingAtReport = outstanding;
    }

    /** Returns the requests at the server, given what the other entries have there. */
    double requests(PeerShare others, long now) {
        double told = Math.max(0, reported.running() + reported.waiting() - outstandingAtReport);
        return outstanding + Math.max(others.requests(), told * faded(now - reportedAt));
    }

    /**
     * Returns how long a new request probably waits before the server turns to it. An engine computes prompts one after
     * the other; a plain server works in all its slots.
     */
    double waitSeconds(PeerShare others, long now) {
        double queued = (unansweredSeconds + others.unansweredSeconds()) / parallelism;
        return Math.max(queued, overdueSeconds(now));
    }

    ServerSummary summary(PeerShare others, long now) {
        return new ServerSummary(
                server,
                waitSeconds(others, now),
                requests(others, now),
                outstanding,
                slowness,
                health.failureShare(),
                health.paused(now),
                cache.tokens());
    }

    /** A server that has stopped answering shows first in the age of its oldest unanswered request. */
    private double overdueSeconds(long now) {
        PlacedWork oldest = unanswered.peekFirst();
        if (oldest == null) {
            return 0;
        }
        return Math.max(0, (now - oldest.atNanoseconds()) / NANOSECONDS - oldest.answerSeconds());
    }

    private boolean answered(PlacedWork work) {
        if (!unanswered.remove(work)) {
            return false;
        }
        unansweredSeconds = unanswered.isEmpty() ? 0 : Math.max(0, unansweredSeconds - work.workSeconds());
        return true;
    }

    private static double faded(long ageNanoseconds) {
        return Math.pow(0.5, Math.max(0, ageNanoseconds) / NANOSECONDS / HALF_LIFE_SECONDS);
    }
}
