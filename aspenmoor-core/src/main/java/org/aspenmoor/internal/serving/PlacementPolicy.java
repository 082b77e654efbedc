package org.aspenmoor.internal.serving;

import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.aspenmoor.internal.engine.EngineRole;
import org.aspenmoor.internal.serving.limit.ServerLimits;
import org.aspenmoor.internal.serving.speed.KnownSpeeds;

/**
 * Chooses the backend server, or the pair of engines, whose answer is expected to start first. Confined to one thread;
 * {@code now} is the monotonic clock in nanoseconds.
 *
 * <p>Prompts with the same shared prefix have the same preferred engine in every entry, by a hash weighted with the
 * engines' prefill rates. Their shared prefix is therefore cached on one engine without communication between entries,
 * and when an engine is removed, only its own prompts move to other engines. Another engine is chosen if waiting in the
 * queue of the preferred engine costs more than computing the prompt again.
 */
public final class PlacementPolicy {
    private static final double NANOSECONDS_PER_SECOND = 1e9;

    /**
     * A server with fewer requests than this counts as idle. The load reported with its last answer decays but never
     * reaches zero.
     */
    private static final double MIN_BUSY_REQUESTS = 0.5;

    private final RandomGenerator random;
    private final Map<String, ServerEstimate> estimates = new LinkedHashMap<>();
    private final EngineSpeeds speeds = new EngineSpeeds();
    private final LongAnswerDetector longAnswerDetector = new LongAnswerDetector();
    private final RequiredDecodeRate requiredDecodeRate = new RequiredDecodeRate();
    private final Map<String, PromptLoadMeter> promptLoadMeters = new HashMap<>();
    private final PeerLoads peerLoads;
    private final ServerLimits limits;
    private final SendFilter sendFilter;
    private final AvailableServers availableServers;
    private final PlacementChoice choice;
    private final PromptAssignments promptAssignments;
    private final AnswerMoves answerMoves;
    private final ServerBackoffs backoffs;
    private final KnownSpeeds knownSpeeds = new KnownSpeeds();
    private final LoadSharing loadSharing;
    private ServerRanking ranking;

    public PlacementPolicy(
            PlacementSettings settings, PeerLoads peerLoads, ServerLimits limits, RandomGenerator random) {
        this.peerLoads = peerLoads;
        this.limits = limits;
        this.sendFilter = new SendFilter(limits);
        this.availableServers = new AvailableServers(estimates);
        this.choice = new PlacementChoice(estimates, sendFilter);
        this.random = random;
        this.answerMoves = new AnswerMoves(estimates, peerLoads, sendFilter, requiredDecodeRate, random);
        this.backoffs = new ServerBackoffs(estimates, random);
        this.loadSharing = new LoadSharing(estimates);
        this.promptAssignments = new PromptAssignments(estimates, peerLoads);
        reload(settings);
    }

    /** Applies changed settings. */
    public void reload(PlacementSettings settings) {
        ranking = new ServerRanking(settings, peerLoads, speeds, longAnswerDetector, random);
    }

    /**
     * Adds or updates a server.
     *
     * @param cacheTokens the size of its cache in tokens; above zero if it runs a model
     */
    public void serverChanged(BackendServer server, int cacheTokens) {
        limits.serverChanged(server);
        SpeedEstimate speed = speeds.estimateOf(server.service(), server.role());
        ServerEstimate known = estimates.get(server.id());
        if (known != null && known.server().sameIncarnation(server)) {
            known.update(server, cacheTokens, speed);
            return;
        }
        estimates.put(
                server.id(),
                new ServerEstimate(server, cacheTokens, speed, knownSpeeds.serverChanged(server), backoffs.of(server)));
    }

    /** Removes a server. */
    public void serverRemoved(String id) {
        estimates.remove(id);
        limits.serverRemoved(id);
        knownSpeeds.serverRemoved(id);
    }

    /** Chooses where a request runs. */
    public Placement choose(PlacementRequest asked, long now) {
        PlacementRequest request = availableServers.withoutQueueingIfSelective(asked);
        return choice.choose(request, availableServers.forRequest(request, now), ranking, now);
    }

    /**
     * Chooses where a request continues that is still open at a server. Asking the same server again would only end the
     * answer that it may still give.
     */
    public Placement chooseOther(PlacementRequest asked, AssignedWork open, long now) {
        PlacementRequest request = availableServers.withoutQueueingIfSelective(asked);
        return choice.choose(request, availableServers.othersForRequest(request, open, now), ranking, now);
    }

    /**
     * Chooses the decode engine for a prompt when it has been computed. Computing may take seconds. A decode engine
     * that was chosen beforehand could start draining meanwhile, and the request would be interrupted when it
     * terminates.
     */
    public Optional<BackendServer> chooseDecodeEngine(PlacementRequest request, BackendServer prefill, long now) {
        List<ServerEstimate> usable =
                sendFilter.permittedForComputedPrompt(availableServers.forRequest(request, now), now);
        return ranking.leastBusyDecodeEngine(request, usable, Optional.of(prefill), now)
                .map(ServerEstimate::server);
    }

    /** Returns the time after which a request may be retried that none of the servers that want requests can answer. */
    public Duration retryDelay(PlacementRequest request, long now) {
        return sendFilter.untilPermitted(availableServers.forRequest(request, now), now);
    }

    /**
     * Records the start of an attempt. The returned object identifies the attempt in later calls.
     *
     * @param workSeconds expected work before the answer starts
     * @param objective time within which the answer is on time
     */
    public AssignedWork attemptStarted(
            BackendServer server, WorkKind kind, double workSeconds, Duration objective, long now) {
        limits.sent(server.id(), now);
        double toleratedWaitSeconds = EntryQueueing.toleratedWaitSeconds(objective);
        ServerEstimate estimate = estimates.get(server.id());
        if (estimate == null) {
            double expectedAnswerSeconds = workSeconds + ServerRanking.DEFAULT_FIXED_SECONDS;
            return new AssignedWork(
                    server.id(),
                    kind,
                    now,
                    new WorkDurations(workSeconds, workSeconds, workSeconds, 1),
                    expectedAnswerSeconds,
                    toleratedWaitSeconds,
                    false,
                    false);
        }
        boolean queuedAtEntry =
                kind != WorkKind.PLAIN && EntryQueueing.applicable(objective, estimatesOf(server.service()), now);
        double nominalWorkSeconds = nominalWorkSeconds(estimate, kind, workSeconds, queuedAtEntry, now);
        double learnedWorkSeconds = nominalWorkSeconds * estimate.slowdownFromSettings(now);
        double statedSlowdown = estimate.statedSlowdown(now);
        double fixedSeconds = fixedSeconds(estimate, kind, queuedAtEntry);
        double expectedAnswerSeconds = ranking.waitSeconds(estimate, now) + workSeconds + fixedSeconds;
        boolean longPrompt = kind != WorkKind.PLAIN
                && EntryQueueing.isLongPrompt(
                        estimate, learnedWorkSeconds * estimate.knownSpeed().lastingSlowdown());
        double requests = estimate.requests(peerLoads.onServer(server.id()), now);
        boolean serverIdle = kind == WorkKind.PLAIN ? requests + 1 <= server.slots() : requests < MIN_BUSY_REQUESTS;
        AssignedWork work = new AssignedWork(
                server.id(),
                kind,
                now,
                new WorkDurations(nominalWorkSeconds, learnedWorkSeconds, workSeconds / statedSlowdown, statedSlowdown),
                expectedAnswerSeconds,
                toleratedWaitSeconds,
                longPrompt,
                serverIdle);
        estimate.attemptStarted(work);
        loadSharing.loadChanged(server.id());
        if (kind == WorkKind.PROMPT_ONLY) {
            promptLoadMeter(server.service()).promptSent(workSeconds, queuedAtEntry);
        }
        return work;
    }

    /** Records the first byte of an answer. */
    public void answerStarted(AssignedWork work, long now) {
        ServerEstimate estimate = estimates.get(work.server());
        if (estimate != null) {
            estimate.answerStarted(work, now);
            estimate.health().answered();
            loadSharing.loadChanged(work.server());
        }
        if (estimate != null && work.kind() == WorkKind.HANDOFF) {
            double seconds = (now - work.startedAtNanos()) / NANOSECONDS_PER_SECOND;
            estimate.handoffCompleted(seconds, now);
            speeds.recordHandoff(estimate.server().service(), seconds);
        }
    }

    /** Records a request to a model whose answer has to be complete within the allowed time. */
    public void answerRequested(String service, Prompt prompt, Duration allowed, long now) {
        requiredDecodeRate.recordRequest(service, prompt, allowed, now);
    }

    /** Records that an answer is complete, and its number of events. */
    public void answerCompleted(String service, Prompt prompt, int events) {
        requiredDecodeRate.recordCompletedAnswer(service, prompt, events);
    }

    /** Returns the event sizes that this entry has measured with enough answers. */
    public List<EventSize> eventSizes() {
        return requiredDecodeRate.learnedEventSizes();
    }

    /** Applies an event size reported by another entry. */
    public void eventSizeReceived(EventSize peerSize) {
        requiredDecodeRate.learnFromPeer(peerSize);
    }

    /**
     * Records that an engine was ordered to change its role. Nothing new is assigned to it until it has changed its
     * role.
     */
    public void roleChangeOrdered(RoleChange change, long now) {
        ServerEstimate estimate = estimates.get(change.server());
        if (estimate != null) {
            estimate.roleChangeOrdered(change.role(), now);
        }
    }

    /** Returns whether an engine is changing its role. */
    public boolean changingRole(String server, long now) {
        ServerEstimate estimate = estimates.get(server);
        return estimate != null && estimate.changingRole(now);
    }

    /** Returns what is known of the prompts that engines have been assigned and cache. */
    public PromptAssignments promptAssignments() {
        return promptAssignments;
    }

    /** Returns what is known of the speeds of servers. */
    public KnownSpeeds knownSpeeds() {
        return knownSpeeds;
    }

    /** Returns whether nothing speaks against a call that asks a server for its load; one with a limit keeps it for requests. */
    public boolean mayProbe(String server, long now) {
        ServerEstimate estimate = estimates.get(server);
        return estimate != null
                && estimate.server().state() == BackendState.READY
                && !estimate.health().paused(now)
                && !estimate.backoff().limiting(now)
                && limits.requestsPerSecond(server).isEmpty();
    }

    /** Returns the pauses that servers have asked this entry for. */
    public ServerBackoffs backoffs() {
        return backoffs;
    }

    /** Returns the decisions about answers that continue at another engine. */
    public AnswerMoves answerMoves() {
        return answerMoves;
    }

    /**
     * Samples the prompt load of a service; to be called several times a second.
     *
     * @param requestsWaiting whether requests wait at this entry for room at an engine
     */
    public void samplePromptLoad(String service, boolean requestsWaiting, long now) {
        int prefillEngines = (int) estimatesOf(service).stream()
                .filter(each -> each.server().role() == EngineRole.PREFILL
                        && each.server().state() == BackendState.READY
                        && !each.changingRole(now))
                .count();
        promptLoadMeter(service).sample(peerLoads.activePeers() + 1, prefillEngines, requestsWaiting, now);
    }

    /** Returns the state of the engines of a service and the load on them. */
    public ServiceLoad serviceLoad(String service, long now) {
        List<EngineState> engines = estimatesOf(service).stream()
                .map(each -> {
                    String id = each.server().id();
                    return each.state(peerLoads.onServer(id), limits.restricts(id, now), now);
                })
                .toList();
        return new ServiceLoad(
                service,
                engines,
                requiredDecodeRate.requiredEventSeconds(service, now),
                promptLoadMeter(service).load());
    }

    private PromptLoadMeter promptLoadMeter(String service) {
        return promptLoadMeters.computeIfAbsent(service, unseen -> new PromptLoadMeter());
    }

    /** Records an event of an answer and the interval since the previous event. */
    public void eventReceived(AssignedWork work, Duration interval, long now) {
        ServerEstimate estimate = estimates.get(work.server());
        if (estimate != null) {
            estimate.eventReceived(interval.toNanos() / NANOSECONDS_PER_SECOND, now);
        }
    }

    /** Returns the load of a server. */
    public EngineLoad load(String server, long now) {
        ServerEstimate estimate = estimates.get(server);
        return estimate == null ? EngineLoad.UNKNOWN : estimate.load(peerLoads.onServer(server), now);
    }

    /** Records how long an answer has been streaming so far, out of the time allowed for its request. */
    public void answerStreaming(String service, Duration streamed, Duration allowed, long now) {
        longAnswerDetector.recordStreaming(service, streamed, allowed, now);
    }

    /** Records the load that a server reported with an answer. */
    public void loadReported(AssignedWork work, ReportedLoad load, long now) {
        ServerEstimate estimate = estimates.get(work.server());
        if (estimate != null) {
            estimate.loadReported(load, now);
        }
    }

    /** Returns this entry's own load by server, to be reported to the other entries now. */
    public Map<String, EntryLoad> ownLoads(long now) {
        return loadSharing.takeLoads(now);
    }

    /** Returns what the other entries are told of this entry's load. */
    public LoadSharing loadSharing() {
        return loadSharing;
    }

    /** Returns the engine speeds that this entry has measured with enough answers. */
    public List<LearnedSpeed> learnedSpeeds() {
        return speeds.learnedSpeeds();
    }

    /** Applies an engine speed reported by another entry. */
    public void speedReceived(LearnedSpeed peerSpeed) {
        speeds.learnFromPeer(peerSpeed);
    }

    /** Returns what is learned of the speeds of engines by service and role. */
    public EngineSpeeds speeds() {
        return speeds;
    }

    /** Returns a summary of each server. */
    public List<ServerSummary> summaries(long now) {
        return estimates.values().stream()
                .map(estimate -> {
                    String id = estimate.server().id();
                    return estimate.summary(peerLoads.onServer(id), limits.summary(id, now), now);
                })
                .toList();
    }

    /** Returns whether the server has not started any answer to this entry since the attempt started. */
    public boolean noAnswerSinceStart(AssignedWork work) {
        ServerEstimate estimate = estimates.get(work.server());
        return estimate == null || estimate.lastAnswerAt() < work.startedAtNanos();
    }

    /** Returns whether this entry has received no part of any answer from the attempt's server after the given time. */
    public boolean nothingReceivedSince(AssignedWork work, long since) {
        ServerEstimate estimate = estimates.get(work.server());
        return estimate == null || estimate.lastReceivedAt() <= since;
    }

    /** Records that an attempt has ended, for whatever reason. */
    public void attemptEnded(AssignedWork work) {
        ServerEstimate estimate = estimates.get(work.server());
        if (estimate != null) {
            estimate.attemptEnded(work);
            loadSharing.loadChanged(work.server());
        }
    }

    /** Records that a server responded with a failure or that its answer was lost. */
    public void attemptFailed(AssignedWork work, long now) {
        ServerEstimate estimate = estimates.get(work.server());
        if (estimate != null) {
            estimate.health().failed(now);
        }
    }

    /** Records that a server rejected work without running it. */
    public void attemptRejected(AssignedWork work, long now) {
        ServerEstimate estimate = estimates.get(work.server());
        if (estimate != null) {
            estimate.attemptRejected(work, now);
        }
    }

    /**
     * Records that a server was unreachable: no connection was established, or another server answered at its address.
     */
    public void serverUnreachable(AssignedWork work, long now) {
        ServerEstimate estimate = estimates.get(work.server());
        if (estimate != null) {
            estimate.health().unreachable(now);
        }
    }

    /** Returns how long work takes at the speed of the settings, given how long it is expected to take now. */
    private static double nominalWorkSeconds(
            ServerEstimate estimate, WorkKind kind, double workSeconds, boolean queuedAtEntry, long now) {
        return kind == WorkKind.PLAIN
                ? ServerRanking.PLAIN_WORK_SECONDS
                : workSeconds / EntryQueueing.slowdown(estimate, queuedAtEntry, now);
    }

    private double fixedSeconds(ServerEstimate estimate, WorkKind kind, boolean queuedAtEntry) {
        if (!queuedAtEntry) {
            return kind == WorkKind.PROMPT_ONLY || kind == WorkKind.WHOLE
                    ? estimate.fixedDelaySeconds()
                    : ServerRanking.DEFAULT_FIXED_SECONDS;
        }
        return switch (kind) {
            case PLAIN -> ServerRanking.DEFAULT_FIXED_SECONDS;
            case PROMPT_ONLY, WHOLE -> estimate.fixedSeconds();
            case HANDOFF -> speeds.handoffSeconds(estimate.server().service());
        };
    }

    private List<ServerEstimate> estimatesOf(String service) {
        return estimates.values().stream()
                .filter(each -> each.server().service().equals(service))
                .toList();
    }
}
