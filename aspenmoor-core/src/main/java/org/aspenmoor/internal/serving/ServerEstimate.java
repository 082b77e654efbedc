package org.aspenmoor.internal.serving;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import org.aspenmoor.internal.engine.EngineRole;

/**
 * What this entry believes of one backend server: its own requests there, what the other entries and the server's answers
 * told, and its health.
 */
final class ServerEstimate {
    private static final double NANOSECONDS_PER_SECOND = 1e9;

    /** Half-life of the load that came with an answer; that of a busy server changes within about a second. */
    private static final double HALF_LIFE_SECONDS = 1.0;

    /** Weight of one more answer in what is believed of a server's speed. */
    private static final double DELAY_WEIGHT = 0.1;

    /** Part of what an answer says that is put down to the one engine; all with its role learn from it too. */
    private static final double OWN_CORRECTION_FRACTION = 0.5;

    /** Weight of one more hand-over in what they take here: a link turns slow from one moment to the next. */
    private static final double HANDOFF_WEIGHT = 0.3;

    /** Weight of one more long prompt in what they usually take: about the last twenty count. */
    private static final double PROMPT_WEIGHT = 0.05;

    /** An engine with less work before it is idle by the time at which a request gets there, in seconds. */
    private static final double MAX_IDLE_WAIT_SECONDS = 0.005;

    /** A server is not taken for slower than this, so that it gets enough work to show that it has recovered. */
    private static final double MAX_SLOWDOWN = 6;

    /** Answers that were expected sooner say more of the way there than of the server's speed. */
    private static final double MIN_EXPECTED_SECONDS = 0.02;

    /** An engine that has not changed its role after this time was not told, or cannot; it is used again. */
    private static final long MAX_ROLE_CHANGE_NANOSECONDS = Duration.ofSeconds(20).toNanos();

    private final ServerHealth health = new ServerHealth();
    private final CacheEstimate cache = new CacheEstimate();
    private final EventIntervalMeter eventIntervalMeter = new EventIntervalMeter();
    private final PromptWindow promptWindow = new PromptWindow();
    private final Deque<AssignedWork> unanswered = new ArrayDeque<>();
    private BackendServer server;
    private int parallelism;
    private int cacheTokens;
    private ReportedLoad reportedLoad = new ReportedLoad(0, 0, 1);
    private long reportedAt;
    private int outstandingAtReport;
    private int outstanding;
    private double unansweredSeconds;
    private SpeedEstimate speed;
    /** At the speed of the settings, so that a process that has just started need not learn it with the speed. */
    private double typicalPromptSeconds;

    private double handoffSeconds;
    private long handoffMeasuredAt = Long.MIN_VALUE;
    private double slowdown = 1;
    private double delaySlowdown = 1;
    private long lastAnswerAt = Long.MIN_VALUE;
    private long lastEventAt = Long.MIN_VALUE;
    private long roleChangeStartedAt = Long.MIN_VALUE;
    private EngineRole targetRole = EngineRole.WHOLE;

    /** Makes a belief; the speed is what is known of all servers of the service with the same role. */
    ServerEstimate(BackendServer server, int cacheTokens, SpeedEstimate speed) {
        update(server, cacheTokens, speed);
    }

    BackendServer server() {
        return server;
    }

    /** Takes what the server says of itself; cache tokens are above zero where it runs a model. */
    void update(BackendServer newServer, int newCacheTokens, SpeedEstimate newSpeed) {
        if (server != null && server.role() != newServer.role()) {
            roleChangeStartedAt = Long.MIN_VALUE;
            health.roleChanged();
            slowdown = 1;
            delaySlowdown = 1;
        }
        speed = newSpeed;
        server = newServer;
        parallelism = newCacheTokens > 0 ? 1 : Math.max(1, newServer.slots());
        cacheTokens = newCacheTokens;
        cache.setCapacity(cacheTokens);
    }

    ServerHealth health() {
        return health;
    }

    CacheEstimate cache() {
        return cache;
    }

    long lastAnswerAt() {
        return lastAnswerAt;
    }

    /** Returns when the server last told this entry anything of an answer. */
    long lastReceivedAt() {
        return Math.max(lastAnswerAt, lastEventAt);
    }

    /** Returns how many times longer than the others with its role the server takes. */
    double slowdown() {
        return slowdown;
    }

    /** Returns how many times longer than the settings say the server takes. */
    double slowdownFromSettings() {
        return runsModel() ? slowdown * speed.factor() : slowdown;
    }

    /**
     * Returns how many times longer than expected answers begin here, with whatever they wait for. Where engines order their
     * queues themselves, this is what tells of the work that nobody has reported.
     */
    double delaySlowdown() {
        return delaySlowdown;
    }

    /** Returns how long this entry's long prompts usually keep an engine busy; zero until one was sent there. */
    double typicalPromptSeconds() {
        return typicalPromptSeconds * slowdownFromSettings();
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
    void changingRole(EngineRole role, long now) {
        if (server.role() != role && !changingRole(now)) {
            roleChangeStartedAt = now;
            targetRole = role;
        }
    }

    /** Returns whether the server is changing its role and takes nothing new. */
    boolean changingRole(long now) {
        return roleChangeStartedAt != Long.MIN_VALUE && now - roleChangeStartedAt < MAX_ROLE_CHANGE_NANOSECONDS;
    }

    /** Returns whether the server will answer nobody, so that its answers should go on elsewhere. */
    boolean mustMoveAnswers(long now) {
        return changingRole(now) && targetRole == EngineRole.PREFILL;
    }

    EngineState state(EntryLoad others, long now) {
        return new EngineState(server, load(others, now), slowdown, changingRole(now));
    }

    /** Notes an event of an answer that came so long after the one before it. */
    void eventReceived(double intervalSeconds, long now) {
        lastEventAt = now;
        eventIntervalMeter.recordEvent(intervalSeconds, now);
    }

    /** Returns what runs at the server, given what the other entries have there. */
    EngineLoad load(EntryLoad others, long now) {
        return new EngineLoad(
                requests(others, now), eventIntervalMeter.intervals(now).plus(others.eventIntervals()).secondsPerEvent());
    }

    /** Notes that the server turned work away without running it. */
    void attemptRejected(AssignedWork work, long now) {
        if (computesPrompt(work)) {
            promptWindow.promptRejected(now);
        }
    }

    /** Notes how long the server took to take a computed prompt over and begin its answer. */
    void handoffCompleted(double seconds, long now) {
        handoffSeconds += HANDOFF_WEIGHT * (seconds - handoffSeconds);
        handoffMeasuredAt = now;
    }

    /**
     * Returns how long taking a computed prompt over takes here, given what it takes elsewhere. An engine whose link has
     * turned slow shows in nothing else; what it took is forgotten within seconds, so that it is tried again.
     */
    double handoffSeconds(double typicalSeconds, long now) {
        if (handoffMeasuredAt == Long.MIN_VALUE) {
            return typicalSeconds;
        }
        return typicalSeconds + (handoffSeconds - typicalSeconds) * decay(now - handoffMeasuredAt);
    }

    /**
     * Returns whether one more prompt of this entry would not wait for long. An engine that no entry has work at has room,
     * whatever was learnt from its queue before; kept from it, requests would wait while it is idle.
     */
    boolean hasRoom(EntryLoad others, long now) {
        boolean idle = promptWindow.isEmpty() && !promptWindow.recentlyRejected(now) && waitSeconds(others, now) < MAX_IDLE_WAIT_SECONDS;
        return idle || promptWindow.hasRoom(now);
    }

    /** Returns this entry's own part of the load. */
    EntryLoad ownLoad(long now) {
        return new EntryLoad(unansweredSeconds, outstanding, eventIntervalMeter.intervals(now));
    }

    void attemptStarted(AssignedWork work) {
        outstanding++;
        unanswered.addLast(work);
        unansweredSeconds += work.expectedWorkSeconds();
        if (work.longPrompt()) {
            promptWindow.promptSent();
            double weight = typicalPromptSeconds == 0 ? 1 : PROMPT_WEIGHT;
            typicalPromptSeconds += weight * (work.learnedWorkSeconds() / slowdownFromSettings() - typicalPromptSeconds);
        }
    }

    /** Notes the first byte of the answer to a piece of work. */
    void answerStarted(AssignedWork work, long now) {
        lastAnswerAt = now;
        if (!unanswered.contains(work)) {
            return;
        }
        double tookSeconds = (now - work.startedAtNanos()) / NANOSECONDS_PER_SECOND;
        if (computesPrompt(work)) {
            promptComputed(work, tookSeconds, now);
        } else if (work.kind() == WorkKind.PLAIN) {
            plainAnswerStarted(work, tookSeconds);
        }
        removeUnanswered(work);
    }

    /** What is left of an answer's time after its start and its own work was spent in the engine's queue. */
    private void promptComputed(AssignedWork work, double tookSeconds, long now) {
        double waitedSeconds = tookSeconds - speed.fixedSeconds() - work.learnedWorkSeconds();
        if (work.longPrompt()) {
            promptWindow.promptComputed(work.startedAtNanos(), now, waitedSeconds, work.toleratedWaitSeconds());
        }
        SpeedEstimate.Correction correction = speed.observe(work.learnedWorkSeconds(), tookSeconds, work.serverWasIdle());
        delaySlowdown = updatedDelaySlowdown(delaySlowdown, work, tookSeconds);
        double corrected = correction.scaled(OWN_CORRECTION_FRACTION).applyTo(slowdown);
        slowdown = Math.clamp(corrected, 1 / MAX_SLOWDOWN, MAX_SLOWDOWN);
    }

    private void plainAnswerStarted(AssignedWork work, double tookSeconds) {
        slowdown = updatedDelaySlowdown(slowdown, work, tookSeconds);
    }

    private static double updatedDelaySlowdown(double slowdown, AssignedWork work, double tookSeconds) {
        double expectedSeconds = Math.max(MIN_EXPECTED_SECONDS, work.expectedAnswerSeconds());
        double ratio = Math.clamp(tookSeconds / expectedSeconds, 1, MAX_SLOWDOWN);
        return slowdown + DELAY_WEIGHT * (ratio - slowdown);
    }

    void attemptEnded(AssignedWork work) {
        removeUnanswered(work);
        outstanding = Math.max(0, outstanding - 1);
    }

    void loadReported(ReportedLoad load, long now) {
        reportedLoad = load;
        reportedAt = now;
        outstandingAtReport = outstanding;
    }

    /** Returns the requests at the server, given what the other entries have there. */
    double requests(EntryLoad others, long now) {
        double reportedByServer = Math.max(0, reportedLoad.running() + reportedLoad.waiting() - outstandingAtReport);
        return outstanding + Math.max(others.requests(), reportedByServer * decay(now - reportedAt));
    }

    /**
     * Returns how long a new request probably waits before the server turns to it. An engine computes prompts one after
     * the other; a plain server works in all its slots.
     */
    double waitSeconds(EntryLoad others, long now) {
        double queuedSeconds = (unansweredSeconds + others.unansweredSeconds()) / parallelism;
        return Math.max(queuedSeconds, overdueSeconds(now));
    }

    ServerSummary summary(EntryLoad others, long now) {
        return new ServerSummary(
                server,
                waitSeconds(others, now),
                load(others, now),
                outstanding,
                slowdown,
                health.failureFraction(),
                changingRole(now),
                health.paused(now),
                cache.tokens());
    }

    /** A server that has stopped answering shows first in the age of its oldest unanswered request. */
    private double overdueSeconds(long now) {
        AssignedWork oldest = unanswered.peekFirst();
        if (oldest == null) {
            return 0;
        }
        return Math.max(0, (now - oldest.startedAtNanos()) / NANOSECONDS_PER_SECOND - oldest.expectedAnswerSeconds());
    }

    private void removeUnanswered(AssignedWork work) {
        if (!unanswered.remove(work)) {
            return;
        }
        unansweredSeconds = unanswered.isEmpty() ? 0 : Math.max(0, unansweredSeconds - work.expectedWorkSeconds());
        if (work.longPrompt()) {
            promptWindow.promptEnded();
        }
    }

    private boolean runsModel() {
        return server.role() != EngineRole.WHOLE || cacheTokens > 0;
    }

    private static boolean computesPrompt(AssignedWork work) {
        return work.kind() == WorkKind.PROMPT_ONLY || work.kind() == WorkKind.WHOLE;
    }

    private static double decay(long ageNanoseconds) {
        return Math.pow(0.5, Math.max(0, ageNanoseconds) / NANOSECONDS_PER_SECOND / HALF_LIFE_SECONDS);
    }
}
