package org.aspenmoor.internal.serving;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import org.aspenmoor.internal.engine.EngineRole;
import org.aspenmoor.internal.serving.limit.LimitSummary;
import org.aspenmoor.internal.serving.speed.KnownSpeed;

/**
 * What this entry knows or estimates about one backend server: its own requests there, what other entries and the
 * server's answers reported, and its health.
 */
final class ServerEstimate {
    private static final double NANOSECONDS_PER_SECOND = 1e9;

    /** Half-life of the load reported with an answer; the load of a busy server changes within about a second. */
    private static final double HALF_LIFE_SECONDS = 1.0;

    /**
     * Fraction of a speed correction that is attributed to the individual engine; all engines with its role learn from
     * the answer too.
     */
    private static final double OWN_CORRECTION_FRACTION = 0.5;

    /** Weight of a new handoff in the average of this server; a link can become slow from one moment to the next. */
    private static final double HANDOFF_WEIGHT = 0.3;

    /** Weight of a new long prompt in the typical duration; about the last twenty count. */
    private static final double PROMPT_WEIGHT = 0.05;

    /**
     * An engine with less queued work than this, in seconds, counts as idle: it has finished that work by the time a
     * request reaches it.
     */
    private static final double MAX_IDLE_WAIT_SECONDS = 0.005;

    /** The slowdown is limited so that a server gets enough work to show that it has recovered. */
    private static final double MAX_SLOWDOWN = 6;

    /**
     * An engine that has not changed its role within this time did not receive the order or cannot follow it, and is
     * used again.
     */
    private static final long MAX_ROLE_CHANGE_NANOSECONDS =
            Duration.ofSeconds(20).toNanos();

    private final ServerHealth health = new ServerHealth();
    private final ServerBackoff backoff;
    private final CacheEstimate cache = new CacheEstimate();
    private final KnownSpeed knownSpeed;
    private final DelayEstimate delay = new DelayEstimate();
    private final EventIntervalMeter eventIntervalMeter = new EventIntervalMeter();
    private final PromptWindow promptWindow = new PromptWindow();
    private final Deque<AssignedWork> unanswered = new ArrayDeque<>();
    private BackendServer server;
    private int parallelism;
    private int cacheTokens;
    private int reportedRunning;
    private int reportedWaiting;
    private long reportedAt;
    /** Requests of this entry at the server when it reported its requests, which include them. */
    private int outstandingAtReport;

    private int outstanding;
    private double unansweredSeconds;
    private SpeedEstimate speed;
    /**
     * Typical duration of a long prompt at the speed of the settings, so that a process that has just started does not
     * have to learn it together with the speed; zero until one was sent.
     */
    private double typicalPromptSeconds;

    private double handoffSeconds;
    private long handoffMeasuredAt = Long.MIN_VALUE;
    private double slowdown = 1;
    private long lastAnswerAt = Long.MIN_VALUE;
    private long lastEventAt = Long.MIN_VALUE;
    private long roleChangeStartedAt = Long.MIN_VALUE;
    private EngineRole targetRole = EngineRole.WHOLE;

    /**
     * Creates an estimate.
     *
     * @param speed the speed of all servers of the service with the same role
     * @param knownSpeed what the server states of its speed, and what all entries have learned of it
     * @param backoff the pauses that the server asks this entry for
     */
    ServerEstimate(
            BackendServer server, int cacheTokens, SpeedEstimate speed, KnownSpeed knownSpeed, ServerBackoff backoff) {
        this.knownSpeed = knownSpeed;
        this.backoff = backoff;
        update(server, cacheTokens, speed);
    }

    BackendServer server() {
        return server;
    }

    /**
     * Applies a registration of the server.
     *
     * @param newCacheTokens the size of its cache in tokens; above zero if it runs a model
     * @param newSpeed the speed of all servers of the service with the same role
     */
    void update(BackendServer newServer, int newCacheTokens, SpeedEstimate newSpeed) {
        if (server != null && server.role() != newServer.role()) {
            roleChangeStartedAt = Long.MIN_VALUE;
            health.roleChanged();
            slowdown = 1;
            delay.reset();
            knownSpeed.roleChanged();
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

    ServerBackoff backoff() {
        return backoff;
    }

    /** Records that the server wants no requests for a while; returns whether it was not paused before. */
    boolean backoffRequested(Duration pause, double randomPart, long now) {
        return backoff.requested(pause, unanswered.size(), randomPart, now);
    }

    /** Returns whether the server has asked for no pause, or this entry's return after it has room for a request. */
    boolean backoffHasRoom(long now) {
        return backoff.hasRoom(unanswered.size(), now);
    }

    CacheEstimate cache() {
        return cache;
    }

    long lastAnswerAt() {
        return lastAnswerAt;
    }

    /** Returns when this entry last received any part of an answer from the server. */
    long lastReceivedAt() {
        return Math.max(lastAnswerAt, lastEventAt);
    }

    /** Returns how many times longer the server takes than the others with its role at its usual speed. */
    double slowdown(long now) {
        if (!knownSpeed.inUse()) {
            return slowdown;
        }
        return runsModel() ? slowdownFromSettings(now) / speed.factor() : slowdownFromSettings(now);
    }

    /** Returns how many times longer the server takes at its usual speed than the settings specify. */
    double slowdownFromSettings(long now) {
        if (knownSpeed.inUse()) {
            return knownSpeed.learnedSlowdown(runsModel() ? speed.factor() : 1, now);
        }
        return runsModel() ? slowdown * speed.factor() : slowdown;
    }

    /** Returns how many times longer than usual the server takes at this moment, as it states itself. */
    double statedSlowdown(long now) {
        return knownSpeed.statedSlowdown(now);
    }

    /** Returns what the server states of its speed, and what all entries have learned of it. */
    KnownSpeed knownSpeed() {
        return knownSpeed;
    }

    /**
     * Returns how many times longer than expected it takes until answers start, including all waits. If engines order
     * their queues themselves, this is the only sign of work that has not been reported to this entry.
     */
    double delaySlowdown() {
        return delay.slowdown(speed.startDelay());
    }

    /** Returns the part of an answer's start-up time that depends neither on work nor on waits, in seconds. */
    double fixedDelaySeconds() {
        return speed.startDelay().fixedSeconds();
    }

    /**
     * Returns how long a long prompt of this entry typically occupies the engine, in seconds; zero until one was sent.
     */
    double typicalPromptSeconds(long now) {
        return typicalPromptSeconds * slowdownFromSettings(now) * knownSpeed.lastingSlowdown();
    }

    /** Returns whether the engine's speed was learned from enough answers. */
    boolean speedKnown() {
        return speed.known();
    }

    /** Returns the part of an answer's start-up time that does not depend on its work, in seconds. */
    double fixedSeconds() {
        return speed.fixedSeconds();
    }

    /** Records that the server was ordered to change its role; ignored if it already has that role. */
    void roleChangeOrdered(EngineRole role, long now) {
        if (server.role() != role && !changingRole(now)) {
            roleChangeStartedAt = now;
            targetRole = role;
        }
    }

    /** Returns whether the server is changing its role and accepts nothing new. */
    boolean changingRole(long now) {
        return roleChangeStartedAt != Long.MIN_VALUE && now - roleChangeStartedAt < MAX_ROLE_CHANGE_NANOSECONDS;
    }

    /** Returns whether the server will stop decoding, so that its answers have to move to another engine. */
    boolean mustMoveAnswers(long now) {
        return changingRole(now) && targetRole == EngineRole.PREFILL;
    }

    EngineState state(EntryLoad others, boolean restricted, long now) {
        double lastingSlowdown = slowdown(now) * knownSpeed.lastingSlowdown();
        return new EngineState(server, load(others, now), lastingSlowdown, changingRole(now), restricted);
    }

    /** Records an event of an answer and the interval since the previous event. */
    void eventReceived(double intervalSeconds, long now) {
        lastEventAt = now;
        eventIntervalMeter.recordEvent(intervalSeconds, now);
    }

    /** Returns the load of the server, given the load of the other entries there. */
    EngineLoad load(EntryLoad others, long now) {
        return new EngineLoad(
                requests(others, now),
                eventIntervalMeter.intervals(now).plus(others.eventIntervals()).secondsPerEvent());
    }

    /** Records that the server rejected work without running it. */
    void attemptRejected(AssignedWork work, long now) {
        if (computesPrompt(work)) {
            promptWindow.promptRejected(now);
        }
    }

    /** Records how long the server took from the start of a handoff to the start of the answer. */
    void handoffCompleted(double seconds, long now) {
        handoffSeconds += HANDOFF_WEIGHT * (seconds - handoffSeconds);
        handoffMeasuredAt = now;
    }

    /**
     * Returns how long a handoff to this server takes, given the typical time for its service. No other measurement
     * shows that the network link of an engine is slow. The measured time decays to the typical time within seconds, so
     * that the engine is tried again.
     */
    double handoffSeconds(double typicalSeconds, long now) {
        if (handoffMeasuredAt == Long.MIN_VALUE) {
            return typicalSeconds;
        }
        return typicalSeconds + (handoffSeconds - typicalSeconds) * decay(now - handoffMeasuredAt);
    }

    /**
     * Returns whether one more prompt of this entry would not wait long. An engine without work from any entry always
     * has room, whatever window was learned from its earlier queue; otherwise requests would wait at the entry while
     * the engine is idle.
     */
    boolean hasRoom(EntryLoad others, long now) {
        boolean idle = promptWindow.isEmpty()
                && !promptWindow.recentlyRejected(now)
                && waitSeconds(others, now) < MAX_IDLE_WAIT_SECONDS;
        return idle || promptWindow.hasRoom(now);
    }

    /** Returns the load of this entry on the server. */
    EntryLoad ownLoad(long now) {
        return new EntryLoad(unansweredSeconds, outstanding, eventIntervalMeter.intervals(now), 0);
    }

    void attemptStarted(AssignedWork work) {
        outstanding++;
        unanswered.addLast(work);
        unansweredSeconds += work.expectedWorkSeconds();
        if (work.longPrompt()) {
            promptWindow.promptSent();
            double weight = typicalPromptSeconds == 0 ? 1 : PROMPT_WEIGHT;
            typicalPromptSeconds += weight * (work.nominalWorkSeconds() - typicalPromptSeconds);
        }
    }

    /** Records the first byte of the answer to an attempt. */
    void answerStarted(AssignedWork work, long now) {
        lastAnswerAt = now;
        backoff.answered(now);
        if (!unanswered.contains(work)) {
            return;
        }
        double tookSeconds = (now - work.startedAtNanos()) / NANOSECONDS_PER_SECOND;
        if (computesPrompt(work)) {
            promptComputed(work, tookSeconds, now);
        } else if (work.kind() == WorkKind.PLAIN) {
            plainAnswerStarted(work, tookSeconds, now);
        }
        removeUnanswered(work);
    }

    /**
     * Learns from a computed prompt. The time until its answer started, minus the fixed part and the prompt's own work,
     * was spent in the engine's queue.
     */
    private void promptComputed(AssignedWork work, double tookSeconds, long now) {
        double stated = knownSpeed.statedDuring(work.startedAtNanos(), now);
        double waitedSeconds = tookSeconds - speed.fixedSeconds() - work.learnedWorkSeconds() * stated;
        if (work.longPrompt()) {
            promptWindow.promptComputed(work.startedAtNanos(), now, waitedSeconds, work.toleratedWaitSeconds());
        }
        double fixedSeconds = speed.fixedSeconds();
        SpeedObservation.learn(this, work, tookSeconds - fixedSeconds, fixedSeconds, stated, now);
        double usualSeconds =
                knownSpeed.inUse() ? work.nominalWorkSeconds() * speed.factor() : work.learnedWorkSeconds();
        SpeedEstimate.Correction correction = speed.observe(usualSeconds * stated, tookSeconds, work.serverWasIdle());
        delay.answerStarted(work, tookSeconds, stated, speed.startDelay());
        double corrected = correction.scaled(OWN_CORRECTION_FRACTION).applyTo(slowdown);
        slowdown = Math.clamp(corrected, 1 / MAX_SLOWDOWN, MAX_SLOWDOWN);
    }

    private void plainAnswerStarted(AssignedWork work, double tookSeconds, long now) {
        double stated = knownSpeed.statedDuring(work.startedAtNanos(), now);
        SpeedObservation.learn(this, work, tookSeconds, 0, stated, now);
        slowdown = DelayEstimate.updated(slowdown, work, tookSeconds, stated);
    }

    void attemptEnded(AssignedWork work) {
        removeUnanswered(work);
        outstanding = Math.max(0, outstanding - 1);
    }

    void loadReported(ReportedLoad load, long now) {
        if (load.running().isEmpty() && load.waiting().isEmpty()) {
            return;
        }
        reportedRunning = load.running().orElse(reportedRunning);
        reportedWaiting = load.waiting().orElse(reportedWaiting);
        reportedAt = now;
        outstandingAtReport = outstanding;
    }

    /** Returns the number of requests at the server, given the load of the other entries there. */
    double requests(EntryLoad others, long now) {
        double reportedByServer = Math.max(0, reportedRunning + reportedWaiting - outstandingAtReport);
        return outstanding + Math.max(others.requests(), reportedByServer * decay(now - reportedAt));
    }

    /**
     * Returns how long a new request probably waits before the server processes it, in seconds. An engine computes
     * prompts one after the other; a plain server works in all its slots.
     */
    double waitSeconds(EntryLoad others, long now) {
        double queuedSeconds = (unansweredSeconds + others.unansweredSeconds()) / parallelism * statedSlowdown(now);
        return Math.max(queuedSeconds, overdueSeconds(now));
    }

    ServerSummary summary(EntryLoad others, Optional<LimitSummary> limit, long now) {
        return new ServerSummary(
                server,
                waitSeconds(others, now),
                load(others, now),
                outstanding,
                slowdown(now),
                knownSpeed.currentStatement(now),
                knownSpeed.lastingSlowdown(),
                health.failureFraction(),
                changingRole(now),
                health.paused(now),
                cache.tokens(),
                backoff.remaining(now),
                limit);
    }

    /**
     * Returns by how many seconds the oldest unanswered request is overdue. A server that stops answering is first
     * detected by this.
     */
    double overdueSeconds(long now) {
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
