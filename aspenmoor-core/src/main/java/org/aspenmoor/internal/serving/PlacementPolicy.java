package org.aspenmoor.internal.serving;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.aspenmoor.internal.engine.EngineRole;

/**
 * Chooses the backend server, or the pair of engines, whose answer should begin first. Confined to one thread.
 *
 * <p>Prompts with the same shared beginning have the same home among the engines in every entry, by a hash weighted with
 * the engines' speed. So their cache fills on one engine without the entries talking to each other, and an engine that
 * leaves moves only its own prompts. Another engine is taken where the home's queue outweighs computing the prompt anew.
 */
public final class PlacementPolicy {
    private static final double NANOSECONDS_PER_SECOND = 1e9;

    /** Fewer requests at a server than this are none: what its answers told of its load fades, and never quite to zero. */
    private static final double MIN_REQUESTS = 0.5;

    /** Events that an answer tells on average before it leaves an engine that changes its role. */
    private static final int MEAN_EVENTS_BEFORE_MOVE = 8;

    /** Prompts kept for the next report, which so stays one datagram; more are only a lost hint. */
    private static final int MAX_UNREPORTED_PROMPTS = 24;

    private final RandomGenerator random;
    private final Map<String, ServerEstimate> estimates = new LinkedHashMap<>();
    private final EngineSpeeds speeds = new EngineSpeeds();
    private final LongAnswerDetector longAnswerDetector = new LongAnswerDetector();
    private final RequiredDecodeRate requiredDecodeRate = new RequiredDecodeRate();
    private final Map<String, PromptLoadMeter> promptLoadMeters = new HashMap<>();
    private final PeerLoads peerLoads;
    private final List<AssignedPrompt> unreportedPrompts = new ArrayList<>();
    private ServerRanking ranking;

    public PlacementPolicy(PlacementSettings settings, PeerLoads peerLoads, RandomGenerator random) {
        this.peerLoads = peerLoads;
        this.random = random;
        reload(settings);
    }

    /** Takes changed settings up. */
    public void reload(PlacementSettings settings) {
        ranking = new ServerRanking(settings, peerLoads, speeds, longAnswerDetector, random);
    }

    /** Learns of a server, or that what is known of it has changed; cache tokens are above zero where it runs a model. */
    public void serverChanged(BackendServer server, int cacheTokens) {
        SpeedEstimate speed = speeds.estimateOf(server.service(), server.role());
        ServerEstimate known = estimates.get(server.id());
        if (known != null && known.server().sameIncarnation(server)) {
            known.update(server, cacheTokens, speed);
            return;
        }
        estimates.put(server.id(), new ServerEstimate(server, cacheTokens, speed));
    }

    /** Forgets a server. */
    public void serverRemoved(String id) {
        estimates.remove(id);
    }

    /** Chooses where a request goes. */
    public Placement choose(PlacementRequest request, long now) {
        List<ServerEstimate> usable = usable(request, now);
        if (usable.isEmpty()) {
            return new Placement.Refused(
                    "no backend server of " + request.service() + " is known", ServerRanking.NO_SERVER_RETRY_AFTER);
        }
        Placement best = request.prompt().isPresent()
                ? ranking.chooseEngines(request, request.prompt().get(), usable, now)
                : ranking.choosePlainServer(usable, now);
        boolean speedUnknown = request.prompt().isPresent() && !speedKnown(best);
        return speedUnknown ? best : QueueLimit.applyTo(best, request);
    }

    private boolean speedKnown(Placement placement) {
        return switch (placement) {
            case Placement.SingleServer whole -> estimates.get(whole.server().id()).speedKnown();
            case Placement.Disaggregated staged -> estimates.get(staged.prefill().id()).speedKnown();
            case Placement.Queued held -> true;
            case Placement.Refused refused -> true;
        };
    }

    /**
     * Chooses the engine that takes a computed prompt over. Computing may take seconds, in which an engine that was chosen
     * beforehand could have begun to leave; the request would be cut with it.
     */
    public Optional<BackendServer> chooseDecodeEngine(PlacementRequest request, BackendServer prefill, long now) {
        int tokens = request.prompt().map(Prompt::promptTokens).orElse(0);
        return ranking.leastBusyDecodeEngine(usable(request, now), tokens, prefill.dataCentre(), now)
                .map(ServerEstimate::server);
    }

    /**
     * Notes that an attempt begins; the result belongs to the other calls about it.
     *
     * @param objective within which the answer is on time
     */
    public AssignedWork attemptStarted(BackendServer server, WorkKind kind, double workSeconds, Duration objective, long now) {
        double toleratedWaitSeconds = EntryQueueing.toleratedWaitSeconds(objective);
        ServerEstimate estimate = estimates.get(server.id());
        if (estimate == null) {
            double expectedAnswerSeconds = workSeconds + ServerRanking.DEFAULT_FIXED_SECONDS;
            return new AssignedWork(server.id(), kind, now, workSeconds, workSeconds, expectedAnswerSeconds, toleratedWaitSeconds, false, false);
        }
        boolean queuedAtEntry = kind != WorkKind.PLAIN && EntryQueueing.applicable(objective, engines(server.service()));
        double learnedWorkSeconds = workSeconds / EntryQueueing.slowdown(estimate, queuedAtEntry) * estimate.slowdownFromSettings();
        double fixedSeconds = fixedSeconds(estimate, kind, queuedAtEntry);
        double expectedAnswerSeconds = ranking.waitSeconds(estimate, now) + workSeconds + fixedSeconds;
        boolean longPrompt = kind != WorkKind.PLAIN && EntryQueueing.isLongPrompt(estimate, learnedWorkSeconds);
        boolean serverIdle = estimate.requests(peerLoads.onServer(server.id()), now) < MIN_REQUESTS;
        AssignedWork work =
                new AssignedWork(server.id(), kind, now, workSeconds, learnedWorkSeconds, expectedAnswerSeconds, toleratedWaitSeconds, longPrompt, serverIdle);
        estimate.attemptStarted(work);
        if (kind == WorkKind.PROMPT_ONLY) {
            promptLoadMeter(server.service()).promptSent(workSeconds, queuedAtEntry);
        }
        return work;
    }

    /** Notes that this entry has placed a prompt at an engine, which will keep it. */
    public void promptAssigned(BackendServer server, Prompt prompt, long now) {
        AssignedPrompt assigned = new AssignedPrompt(server.id(), prompt.parts());
        promptAssignedByPeer(assigned, now);
        if (unreportedPrompts.size() < MAX_UNREPORTED_PROMPTS) {
            unreportedPrompts.add(assigned);
        }
    }

    /** Notes that another entry has placed a prompt at an engine. */
    public void promptAssignedByPeer(AssignedPrompt assigned, long now) {
        ServerEstimate estimate = estimates.get(assigned.server());
        if (estimate != null) {
            long computedAt = now + (long) (ranking.waitSeconds(estimate, now) * NANOSECONDS_PER_SECOND);
            estimate.cache().promptAssigned(assigned.parts(), computedAt);
        }
    }

    /** Notes which prompt parts an engine says that it keeps. */
    public void cacheReported(String server, List<PromptPart> parts, long now) {
        ServerEstimate estimate = estimates.get(server);
        if (estimate != null) {
            estimate.cache().promptAssigned(parts, now);
        }
    }

    /** Returns the prompts that this entry has placed since it was last asked. */
    public List<AssignedPrompt> takeUnreportedPrompts() {
        List<AssignedPrompt> taken = List.copyOf(unreportedPrompts);
        unreportedPrompts.clear();
        return taken;
    }

    /** Notes the first byte of an answer. */
    public void answerStarted(AssignedWork work, long now) {
        ServerEstimate estimate = estimates.get(work.server());
        if (estimate != null) {
            estimate.answerStarted(work, now);
            estimate.health().answered();
        }
        if (estimate != null && work.kind() == WorkKind.HANDOFF) {
            double seconds = (now - work.startedAtNanos()) / NANOSECONDS_PER_SECOND;
            estimate.handoffCompleted(seconds, now);
            speeds.recordHandoff(estimate.server().service(), seconds);
        }
    }

    /** Notes a request of a model for an answer that should be whole within some time. */
    public void answerRequested(String service, Prompt prompt, Duration allowed, long now) {
        requiredDecodeRate.recordRequest(service, prompt, allowed, now);
    }

    /** Notes that an answer has come to its end with so many events. */
    public void answerCompleted(String service, Prompt prompt, int events) {
        requiredDecodeRate.recordCompletedAnswer(service, prompt, events);
    }

    /** Returns how long this entry has found the events of answers, as far as it has seen enough. */
    public List<EventSize> eventSizes() {
        return requiredDecodeRate.learnedEventSizes();
    }

    /** Takes in how long another entry has found the events of answers. */
    public void eventSizeReceived(EventSize peerSize) {
        requiredDecodeRate.learnFromPeer(peerSize);
    }

    /** Notes that an engine has been told to change its role; until it has, nothing new is placed there. */
    public void roleChangeOrdered(RoleChange change, long now) {
        ServerEstimate estimate = estimates.get(change.server());
        if (estimate != null) {
            estimate.changingRole(change.role(), now);
        }
    }

    /** Returns whether an engine is changing its role. */
    public boolean changingRole(String server, long now) {
        ServerEstimate estimate = estimates.get(server);
        return estimate != null && estimate.changingRole(now);
    }

    /**
     * Returns whether an answer should go on elsewhere now, since its engine is about to answer nobody; to be asked at each
     * event. Answers leave one by one: all at once they would be read in at the other engines one after the other, and pause
     * for too long.
     */
    public boolean shouldMoveAnswer(AssignedWork work, long now) {
        return mustMoveAnswers(work, now) && random.nextInt(MEAN_EVENTS_BEFORE_MOVE) == 0;
    }

    /** Returns whether the answers of an engine should go on at another one. */
    boolean mustMoveAnswers(AssignedWork work, long now) {
        ServerEstimate estimate = estimates.get(work.server());
        return estimate != null && estimate.mustMoveAnswers(now);
    }

    /** Samples how much the prompts of a service press; to be called several times a second. */
    public void samplePromptLoad(String service, boolean requestsWaiting, long now) {
        int prefillEngines = (int) engines(service).stream()
                .filter(each -> each.server().role() == EngineRole.PREFILL && !each.changingRole(now))
                .count();
        promptLoadMeter(service).sample(peerLoads.activePeers() + 1, prefillEngines, requestsWaiting, now);
    }

    /** Returns what the engines of a service do and what is asked of them. */
    public ServiceLoad serviceLoad(String service, long now) {
        List<EngineState> engines = engines(service).stream()
                .map(each -> each.state(peerLoads.onServer(each.server().id()), now))
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

    /** Notes an event of an answer that came so long after the one before it. */
    public void eventReceived(AssignedWork work, Duration interval, long now) {
        ServerEstimate estimate = estimates.get(work.server());
        if (estimate != null) {
            estimate.eventReceived(interval.toNanos() / NANOSECONDS_PER_SECOND, now);
        }
    }

    /** Returns what runs at a server. */
    public EngineLoad load(String server, long now) {
        ServerEstimate estimate = estimates.get(server);
        return estimate == null ? EngineLoad.UNKNOWN : estimate.load(peerLoads.onServer(server), now);
    }

    /** Notes how long an answer has been told so far, out of the time that its request was allowed. */
    public void answerStreaming(String service, Duration streamed, Duration allowed, long now) {
        longAnswerDetector.recordStreaming(service, streamed, allowed, now);
    }

    /** Notes the load that came with an answer. */
    public void loadReported(AssignedWork work, ReportedLoad load, long now) {
        ServerEstimate estimate = estimates.get(work.server());
        if (estimate != null) {
            estimate.loadReported(load, now);
        }
    }

    /** Returns this entry's own part of the load, for the other entries; servers without any are left out. */
    public Map<String, EntryLoad> ownLoads(long now) {
        Map<String, EntryLoad> loads = new HashMap<>();
        estimates.forEach((id, estimate) -> {
            EntryLoad load = estimate.ownLoad(now);
            if (load.requests() > 0) {
                loads.put(id, load);
            }
        });
        return loads;
    }

    /** Returns how fast this entry has found the engines, as far as it has seen enough answers. */
    public List<LearnedSpeed> learnedSpeeds() {
        return speeds.learnedSpeeds();
    }

    /** Takes in how fast another entry has found the engines. */
    public void speedReceived(LearnedSpeed peerSpeed) {
        speeds.learnFromPeer(peerSpeed);
    }

    /** Returns what is believed of each server. */
    public List<ServerSummary> summaries(long now) {
        return estimates.values().stream()
                .map(estimate -> estimate.summary(peerLoads.onServer(estimate.server().id()), now))
                .toList();
    }

    /** Returns whether the server has begun no answer to this entry since the attempt was placed. */
    public boolean noAnswerSinceStart(AssignedWork work) {
        ServerEstimate estimate = estimates.get(work.server());
        return estimate == null || estimate.lastAnswerAt() < work.startedAtNanos();
    }

    /** Returns whether the server of an attempt has told this entry nothing of any answer since a moment. */
    public boolean nothingReceivedSince(AssignedWork work, long since) {
        ServerEstimate estimate = estimates.get(work.server());
        return estimate == null || estimate.lastReceivedAt() <= since;
    }

    /** Notes that an attempt is over, in whatever way. */
    public void attemptEnded(AssignedWork work) {
        ServerEstimate estimate = estimates.get(work.server());
        if (estimate != null) {
            estimate.attemptEnded(work);
        }
    }

    /** Notes that a server answered with a failure of its own, or that its answer was lost. */
    public void attemptFailed(AssignedWork work, long now) {
        ServerEstimate estimate = estimates.get(work.server());
        if (estimate != null) {
            estimate.health().failed(now);
        }
    }

    /** Notes that a server turned work away without running it. */
    public void attemptRejected(AssignedWork work, long now) {
        ServerEstimate estimate = estimates.get(work.server());
        if (estimate != null) {
            estimate.attemptRejected(work, now);
        }
    }

    /** Notes that a server was not there: no connection came about, or another server answered at its address. */
    public void serverUnreachable(AssignedWork work, long now) {
        ServerEstimate estimate = estimates.get(work.server());
        if (estimate != null) {
            estimate.health().unreachable(now);
        }
    }

    private List<ServerEstimate> usable(PlacementRequest request, long now) {
        List<ServerEstimate> usable = new ArrayList<>();
        for (ServerEstimate estimate : estimates.values()) {
            BackendServer server = estimate.server();
            boolean takesWork = server.service().equals(request.service())
                    && server.state() == BackendState.READY
                    && !estimate.changingRole(now)
                    && !request.excludedServers().contains(server.id());
            if (takesWork) {
                usable.add(estimate);
            }
        }
        return usable;
    }

    private double fixedSeconds(ServerEstimate estimate, WorkKind kind, boolean queuedAtEntry) {
        if (!queuedAtEntry) {
            return ServerRanking.DEFAULT_FIXED_SECONDS;
        }
        return switch (kind) {
            case PLAIN -> ServerRanking.DEFAULT_FIXED_SECONDS;
            case PROMPT_ONLY, WHOLE -> estimate.fixedSeconds();
            case HANDOFF -> speeds.handoffSeconds(estimate.server().service());
        };
    }

    private List<ServerEstimate> engines(String service) {
        return estimates.values().stream()
                .filter(each -> each.server().service().equals(service))
                .toList();
    }
}
