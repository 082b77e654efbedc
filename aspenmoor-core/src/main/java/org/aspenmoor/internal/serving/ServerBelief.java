package org.aspenmoor.internal.serving;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import org.aspenmoor.internal.engine.EngineRole;

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

    /** Part of what an answer says that is put down to the one engine; all with its role learn from it too. */
    private static final double OWN_SHARE = 0.5;

    /** Weight of one more hand-over in what they take here: a link turns slow from one moment to the next. */
    private static final double HAND_OVER_SHARE = 0.3;

    /** Weight of one more long prompt in what they usually take: about the last twenty count. */
    private static final double PROMPT_SHARE = 0.05;

    /** An engine with less work before it is idle by the time at which a request gets there, in seconds. */
    private static final double IDLE_SECONDS = 0.005;

    /** A server is not taken for slower than this, so that it gets enough work to show that it has recovered. */
    private static final double MOST_SLOWNESS = 6;

    /** Answers that were expected sooner say more of the way there than of the server's speed. */
    private static final double SHORTEST_JUDGED_SECONDS = 0.02;

    /** An engine that has not changed its role after this time was not told, or cannot; it is used again. */
    private static final long MOST_CHANGE_NANOSECONDS = Duration.ofSeconds(20).toNanos();

    private final ServerHealth health = new ServerHealth();
    private final CacheBelief cache = new CacheBelief();
    private final PaceMeter pace = new PaceMeter();
    private final PromptWindow window = new PromptWindow();
    private final Deque<PlacedWork> unanswered = new ArrayDeque<>();
    private BackendServer server;
    private int parallelism;
    private int cacheTokens;
    private ReportedLoad reported = new ReportedLoad(0, 0, 1);
    private long reportedAt;
    private int outstandingAtReport;
    private int outstanding;
    private double unansweredSeconds;
    private SpeedEstimate speed;
    /** At the speed of the settings, so that a process that has just started need not learn it with the speed. */
    private double usualPromptSeconds;

    private double handOverSeconds;
    private long handOverAt = Long.MIN_VALUE;
    private double slowness = 1;
    private double delaySlowness = 1;
    private long lastAnswerAt = Long.MIN_VALUE;
    private long lastEventAt = Long.MIN_VALUE;
    private long changingSince = Long.MIN_VALUE;
    private EngineRole changingTo = EngineRole.WHOLE;

    /** Makes a belief; the speed is what is known of all servers of the service with the same role. */
    ServerBelief(BackendServer server, int cacheTokens, SpeedEstimate speed) {
        update(server, cacheTokens, speed);
    }

    BackendServer server() {
        return server;
    }

    /** Takes what the server says of itself; cache tokens are above zero where it runs a model. */
    void update(BackendServer newer, int newCacheTokens, SpeedEstimate newSpeed) {
        if (server != null && server.role() != newer.role()) {
            changingSince = Long.MIN_VALUE;
            health.roleChanged();
            slowness = 1;
            delaySlowness = 1;
        }
        speed = newSpeed;
        server = newer;
        parallelism = newCacheTokens > 0 ? 1 : Math.max(1, newer.slots());
        cacheTokens = newCacheTokens;
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

    /** Returns when the server last told this entry anything of an answer. */
    long lastHeardAt() {
        return Math.max(lastAnswerAt, lastEventAt);
    }

    /** Returns how many times longer than the others with its role the server takes. */
    double slowness() {
        return slowness;
    }

    /** Returns how many times longer than the settings say the server takes. */
    double slownessBySettings() {
        return runsModel() ? slowness * speed.factor() : slowness;
    }

    /**
     * Returns how many times longer than expected answers begin here, with whatever they wait for. Where engines order their
     * queues themselves, this is what tells of the work that nobody has reported.
     */
    double delaySlowness() {
        return delaySlowness;
    }

    /** Returns how long this entry's long prompts usually keep an engine busy; zero until one was sent there. */
    double usualPromptSeconds() {
        return usualPromptSeconds * slownessBySettings();
    }

    /** Returns whether the speed of an engine was learnt from enough answers. */
    boolean speedKnown() {
        return speed.known();
    }

    /** Returns what an answer of an engine takes beside its work. */
    double fixedSeconds() {
        return speed.fixedSeconds();
    }

    /** Notes that the server has been told to take another role; nothing follows where it has that role already. */
    void changing(EngineRole role, long now) {
        if (server.role() != role && !changing(now)) {
            changingSince = now;
            changingTo = role;
        }
    }

    /** Returns whether the server is changing its role and takes nothing new. */
    boolean changing(long now) {
        return changingSince != Long.MIN_VALUE && now - changingSince < MOST_CHANGE_NANOSECONDS;
    }

    /** Returns whether the server will answer nobody, so that its answers should go on elsewhere. */
    boolean leavesAnswers(long now) {
        return changing(now) && changingTo == EngineRole.PREFILL;
    }

    EngineState state(PeerShare others, long now) {
        return new EngineState(server, load(others, now), slowness, changing(now));
    }

    /** Notes an event of an answer that came so long after the one before it. */
    void eventTold(double pauseSeconds, long now) {
        lastEventAt = now;
        pace.event(pauseSeconds, now);
    }

    /** Returns what runs at the server, given what the other entries have there. */
    EngineLoad load(PeerShare others, long now) {
        return new EngineLoad(
                requests(others, now), pace.seen(now).plus(others.pace()).secondsPerEvent());
    }

    /** Notes that the server turned work away without running it. */
    void rejected(PlacedWork work, long now) {
        if (isPrompt(work)) {
            window.rejected(now);
        }
    }

    /** Notes how long the server took to take a computed prompt over and begin its answer. */
    void tookOver(double seconds, long now) {
        handOverSeconds += HAND_OVER_SHARE * (seconds - handOverSeconds);
        handOverAt = now;
    }

    /**
     * Returns how long taking a computed prompt over takes here, given what it takes elsewhere. An engine whose link has
     * turned slow shows in nothing else; what it took is forgotten within seconds, so that it is tried again.
     */
    double handOverSeconds(double elsewhere, long now) {
        if (handOverAt == Long.MIN_VALUE) {
            return elsewhere;
        }
        return elsewhere + (handOverSeconds - elsewhere) * faded(now - handOverAt);
    }

    /**
     * Returns whether one more prompt of this entry would not wait for long. An engine that no entry has work at has room,
     * whatever was learnt from its queue before; kept from it, requests would wait while it is idle.
     */
    boolean hasRoom(PeerShare others, long now) {
        boolean idle = window.empty() && !window.rejecting(now) && waitSeconds(others, now) < IDLE_SECONDS;
        return idle || window.room(now);
    }

    /** Returns this entry's own part of the load. */
    PeerShare ownShare(long now) {
        return new PeerShare(unansweredSeconds, outstanding, pace.seen(now));
    }

    void placed(PlacedWork work) {
        outstanding++;
        unanswered.addLast(work);
        unansweredSeconds += work.workSeconds();
        if (work.longPrompt()) {
            window.placed();
            double weight = usualPromptSeconds == 0 ? 1 : PROMPT_SHARE;
            usualPromptSeconds += weight * (work.speedSeconds() / slownessBySettings() - usualPromptSeconds);
        }
    }

    /** Notes the first byte of the answer to a piece of work. */
    void answerBegan(PlacedWork work, long now) {
        lastAnswerAt = now;
        if (!unanswered.contains(work)) {
            return;
        }
        double took = (now - work.atNanoseconds()) / NANOSECONDS;
        if (isPrompt(work)) {
            promptComputed(work, took, now);
        } else if (work.kind() == WorkKind.PLAIN) {
            plainAnswered(work, took);
        }
        answered(work);
    }

    /** What is left of an answer's time after its start and its own work was spent in the engine's queue. */
    private void promptComputed(PlacedWork work, double took, long now) {
        double waited = took - speed.fixedSeconds() - work.speedSeconds();
        if (work.longPrompt()) {
            window.computed(work.atNanoseconds(), now, waited, work.toleratedSeconds());
        }
        SpeedEstimate.Correction correction = speed.observe(work.speedSeconds(), took, work.alone());
        delaySlowness = delayed(delaySlowness, work, took);
        double changed = correction.shared(OWN_SHARE).applied(slowness);
        slowness = Math.clamp(changed, 1 / MOST_SLOWNESS, MOST_SLOWNESS);
    }

    private void plainAnswered(PlacedWork work, double took) {
        slowness = delayed(slowness, work, took);
    }

    private static double delayed(double before, PlacedWork work, double took) {
        double expected = Math.max(SHORTEST_JUDGED_SECONDS, work.answerSeconds());
        double ratio = Math.clamp(took / expected, 1, MOST_SLOWNESS);
        return before + LEARNING_SHARE * (ratio - before);
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
                load(others, now),
                outstanding,
                slowness,
                health.failureShare(),
                changing(now),
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

    private void answered(PlacedWork work) {
        if (!unanswered.remove(work)) {
            return;
        }
        unansweredSeconds = unanswered.isEmpty() ? 0 : Math.max(0, unansweredSeconds - work.workSeconds());
        if (work.longPrompt()) {
            window.ended();
        }
    }

    private boolean runsModel() {
        return server.role() != EngineRole.WHOLE || cacheTokens > 0;
    }

    private static boolean isPrompt(PlacedWork work) {
        return work.kind() == WorkKind.PROMPT_ONLY || work.kind() == WorkKind.WHOLE;
    }

    private static double faded(long ageNanoseconds) {
        return Math.pow(0.5, Math.max(0, ageNanoseconds) / NANOSECONDS / HALF_LIFE_SECONDS);
    }
}
