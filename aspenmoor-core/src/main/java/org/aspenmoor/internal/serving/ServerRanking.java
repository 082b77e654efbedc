package org.aspenmoor.internal.serving;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.aspenmoor.internal.engine.EngineRole;

/**
 * Ranks candidate servers by when the answer would start there and by how much the request delays others. Scores, costs
 * and penalties are in seconds; the lowest score is best.
 */
final class ServerRanking {
    /**
     * Fixed part of the time to the first token, in seconds, used until answers have been measured: scheduling, first
     * decode step and network.
     */
    static final double DEFAULT_FIXED_SECONDS = 0.035;

    /**
     * Retry delay for refused callers if no server is known; servers that start or return are detected within a second.
     */
    static final Duration NO_SERVER_RETRY_AFTER = Duration.ofMillis(600);

    /**
     * Penalty for a server in another data centre, in seconds: two network crossings and the price of the transferred
     * bytes.
     */
    private static final double REMOTE_PENALTY_SECONDS = 0.004;

    /**
     * Penalty for a server that is paused after failures, in seconds: more than any acceptable wait. It is still chosen
     * if no other server can do the work, because a failed attempt loses no more than making no attempt.
     */
    private static final double PAUSED_PENALTY_SECONDS = 3;

    /** Penalty per unit of failure fraction, in seconds: a failed attempt costs about as much as a complete retry. */
    private static final double FAILURE_PENALTY_SECONDS = 0.5;

    /**
     * Width of the random part of a score, in seconds; entries with equal estimates must not all choose the same
     * server.
     */
    private static final double TIE_BREAK_SECONDS = 0.002;

    /** Expected duration of a request to a plain service, in seconds; used only to rank servers. */
    static final double PLAIN_WORK_SECONDS = 0.02;

    /**
     * Added to a disaggregated placement if prompts are not queued at the entry, in seconds: the network time of a
     * second request and the price of the transfer.
     */
    private static final double DEFAULT_HANDOFF_SECONDS = 0.035;

    /**
     * Cost of each second of computing for the requests behind it, in seconds. Without this cost an entry would assign
     * a prompt to any engine that is free slightly earlier. The prompt's shared prefix would be computed again there,
     * and repeated computing would fill the queues of all engines.
     */
    private static final double QUEUE_COST_PER_SECOND = 2;

    /**
     * Cost of each second of computing on a decode engine for each stream there, in seconds. The stream's tokens are
     * generated between the chunks of the prompt, every 70 to 100 ms instead of every 5 ms, and long answers miss their
     * deadline.
     */
    private static final double STREAM_COST_PER_SECOND = 0.3;

    /**
     * Delay that each request at a decode engine adds to the start of the next one, in seconds: a part of its cache
     * transfer, and slower decode steps.
     */
    private static final double SECONDS_PER_DECODE_REQUEST = 0.002;

    /**
     * Penalty for the only engine of a software version, in seconds, if the answer may have to be continued by another
     * one: about a tenth of an objective, so that it counts among engines that are equal otherwise.
     */
    private static final double LONELY_VERSION_PENALTY_SECONDS = 0.03;

    /**
     * Penalty for a decode engine of another software version than the engine that has computed the prompt, in seconds:
     * a cache is better read by the version that has written it, unless a caller waits for that.
     */
    private static final double FOREIGN_CACHE_PENALTY_SECONDS = 0.01;

    private final PlacementSettings settings;
    private final PeerLoads peerLoads;
    private final EngineSpeeds speeds;
    private final LongAnswerDetector longAnswerDetector;
    private final RandomGenerator random;

    ServerRanking(
            PlacementSettings settings,
            PeerLoads peerLoads,
            EngineSpeeds speeds,
            LongAnswerDetector longAnswerDetector,
            RandomGenerator random) {
        this.settings = settings;
        this.peerLoads = peerLoads;
        this.speeds = speeds;
        this.longAnswerDetector = longAnswerDetector;
        this.random = random;
    }

    /** Chooses among plain servers, of which there must be at least one. */
    Placement choosePlainServer(List<ServerEstimate> usable, long now) {
        if (usable.getFirst().knownSpeed().inUse()) {
            return choosePlainServerBySpeed(usable, now);
        }
        ServerEstimate best = null;
        double bestScore = Double.MAX_VALUE;
        for (ServerEstimate candidate : usable) {
            double requestsPerSlot =
                    (candidate.requests(peerLoads.onServer(candidate.server().id()), now) + 1)
                            / Math.max(1, candidate.server().slots());
            double score = Math.max(
                            requestsPerSlot * PLAIN_WORK_SECONDS * candidate.slowdown(now), waitSeconds(candidate, now))
                    + penaltySeconds(candidate, now)
                    + random.nextDouble() * TIE_BREAK_SECONDS;
            if (score < bestScore) {
                best = candidate;
                bestScore = score;
            }
        }
        double queueSeconds = waitSeconds(best, now);
        return new Placement.SingleServer(
                best.server(), Optional.empty(), PLAIN_WORK_SECONDS, queueSeconds, queueSeconds + PLAIN_WORK_SECONDS);
    }

    /** Chooses the plain server whose answer is expected first, if servers of the service state their speed. */
    private Placement choosePlainServerBySpeed(List<ServerEstimate> usable, long now) {
        PlainWork work = new PlainWork(usable, peerLoads, random, now);
        Placement best = null;
        double bestScore = Double.MAX_VALUE;
        for (ServerEstimate candidate : usable) {
            PlainWork.Durations durations = work.at(candidate);
            double score = durations.score() + penaltySeconds(candidate, now) + random.nextDouble() * TIE_BREAK_SECONDS;
            if (score < bestScore) {
                bestScore = score;
                best = new Placement.SingleServer(
                        candidate.server(),
                        Optional.empty(),
                        durations.work(),
                        durations.queue(),
                        durations.queue() + durations.work());
            }
        }
        return best;
    }

    private double handoffSeconds(PlacementRequest request, Prompt prompt, boolean queuedAtEntry) {
        return queuedAtEntry
                ? speeds.handoffSeconds(request.service())
                : DEFAULT_HANDOFF_SECONDS + settings.engineSpeed().handoffSeconds(prompt.promptTokens());
    }

    private static boolean isAvailablePrefillEngine(ServerEstimate engine, long now) {
        return engine.server().role() == EngineRole.PREFILL && !engine.health().paused(now);
    }

    /** Chooses the engine, or the pair of engines, for a prompt and its answer. */
    Placement chooseEngines(PlacementRequest request, Prompt prompt, List<ServerEstimate> usable, long now) {
        boolean engineFull = false;
        double minPromptSeconds = Double.MAX_VALUE;
        ServerEstimate decoder =
                leastBusyDecodeEngine(request, usable, Optional.empty(), now).orElse(null);
        SharedVersions versions = new SharedVersions(request, usable);
        boolean canDisaggregate = request.mayDisaggregate()
                && decoder != null
                && usable.stream().anyMatch(each -> isAvailablePrefillEngine(each, now));
        boolean queuedAtEntry = EntryQueueing.applicable(request.objective(), usable, now);
        PromptCosts costs = new PromptCosts(settings, prompt, usable, queuedAtEntry, now);
        boolean shortPrompt = decoder != null
                && !EntryQueueing.isLongPrompt(decoder, costs.workAt(decoder).seconds());
        boolean avoidDecodeEngines =
                queuedAtEntry && canDisaggregate && longAnswerDetector.inProgress(request.service(), now);
        Placement best =
                new Placement.Refused("no engine that can generate the answer is available", NO_SERVER_RETRY_AFTER);
        double bestScore = Double.MAX_VALUE;
        for (ServerEstimate engine : usable) {
            boolean prefill = engine.server().role() == EngineRole.PREFILL;
            if (prefill && (decoder == null || !request.mayDisaggregate())) {
                continue;
            }
            PromptCosts.EngineWork work = costs.workAt(engine);
            boolean longPrompt = EntryQueueing.isLongPrompt(engine, work.seconds());
            // Short prompts must not wait behind long ones; long prompts must not delay long answers in progress.
            if (shortPrompt ? prefill : avoidDecodeEngines && engine.server().role() == EngineRole.DECODE) {
                continue;
            }
            boolean noRoom = request.othersQueued()
                    || !engine.hasRoom(peerLoads.onServer(engine.server().id()), now)
                    || (canDisaggregate && engine.health().paused(now));
            if (queuedAtEntry && request.mayQueue() && longPrompt && noRoom) {
                engineFull = true;
                minPromptSeconds = Math.min(minPromptSeconds, work.seconds());
                continue;
            }
            double fixedSeconds = queuedAtEntry ? engine.fixedSeconds() : engine.fixedDelaySeconds();
            double queueSeconds = waitSeconds(engine, now);
            double firstTokenSeconds = queueSeconds + work.seconds() + fixedSeconds;
            double startSeconds = prefill
                    ? firstTokenSeconds + handoffSeconds(request, prompt, queuedAtEntry) + waitSeconds(decoder, now)
                    : firstTokenSeconds;
            double score = startSeconds
                    + penaltySeconds(engine, now)
                    + versionPenaltySeconds(engine, versions)
                    + costPerSecond(engine, now) * work.seconds();
            if (score < bestScore) {
                bestScore = score;
                best = placementAt(engine, work, queueSeconds, startSeconds, queuedAtEntry);
            }
        }
        return engineFull && best instanceof Placement.Refused ? new Placement.Queued(minPromptSeconds) : best;
    }

    private static Placement placementAt(
            ServerEstimate engine,
            PromptCosts.EngineWork work,
            double queueSeconds,
            double startSeconds,
            boolean queuedAtEntry) {
        BackendServer server = engine.server();
        return server.role() == EngineRole.PREFILL
                ? new Placement.Disaggregated(
                        server, work.cacheHolder(), work.seconds(), queueSeconds, startSeconds, queuedAtEntry)
                : new Placement.SingleServer(server, work.cacheHolder(), work.seconds(), queueSeconds, startSeconds);
    }

    /** Returns a placement in the queue of this entry until one of the engines, of which there must be any, has room. */
    Placement queue(Prompt prompt, List<ServerEstimate> engines, long now) {
        PromptCosts costs = new PromptCosts(settings, prompt, engines, true, now);
        return new Placement.Queued(engines.stream()
                .mapToDouble(engine -> costs.workAt(engine).seconds())
                .min()
                .orElseThrow());
    }

    /**
     * Returns how long a new request probably waits at a server, in seconds, given the load of the other entries there.
     */
    double waitSeconds(ServerEstimate candidate, long now) {
        return candidate.waitSeconds(peerLoads.onServer(candidate.server().id()), now);
    }

    private double costPerSecond(ServerEstimate engine, long now) {
        if (engine.server().role() != EngineRole.DECODE) {
            return QUEUE_COST_PER_SECOND;
        }
        return QUEUE_COST_PER_SECOND
                + STREAM_COST_PER_SECOND
                        * engine.requests(peerLoads.onServer(engine.server().id()), now);
    }

    private static double versionPenaltySeconds(ServerEstimate engine, SharedVersions versions) {
        return versions.isLonely(engine) ? LONELY_VERSION_PENALTY_SECONDS : 0;
    }

    private static double cachePenaltySeconds(Optional<BackendServer> prefill, ServerEstimate engine) {
        SoftwareVersion version = engine.server().softwareVersion();
        boolean foreignCache = prefill.map(BackendServer::softwareVersion)
                .filter(other -> !other.equals(version))
                .isPresent();
        return foreignCache ? FOREIGN_CACHE_PENALTY_SECONDS : 0;
    }

    private double penaltySeconds(ServerEstimate candidate, long now) {
        double distancePenalty =
                candidate.server().dataCentre().equals(settings.dataCentre()) ? 0 : REMOTE_PENALTY_SECONDS;
        double pausedPenalty = candidate.health().paused(now) ? PAUSED_PENALTY_SECONDS : 0;
        return distancePenalty
                + pausedPenalty
                + FAILURE_PENALTY_SECONDS * candidate.health().failureFraction();
    }

    /**
     * Returns the decode engine on which the answer to a computed prompt is expected to start first. Transfers to an
     * engine are sequential, so the number of requests at the engine approximates the transfers that come first.
     *
     * @param prefill the engine that has computed the prompt; empty if it has not been computed
     */
    Optional<ServerEstimate> leastBusyDecodeEngine(
            PlacementRequest request, List<ServerEstimate> usable, Optional<BackendServer> prefill, long now) {
        String sourceDataCentre = prefill.map(BackendServer::dataCentre).orElse(settings.dataCentre());
        int tokens = request.prompt().map(Prompt::promptTokens).orElse(0);
        SharedVersions versions = new SharedVersions(request, usable);
        ServerEstimate best = null;
        double bestScore = Double.MAX_VALUE;
        for (ServerEstimate engine : usable) {
            if (engine.server().role() == EngineRole.PREFILL) {
                continue;
            }
            double typicalSeconds = speeds.handoffSeconds(engine.server().service());
            double score = waitSeconds(engine, now)
                    + penaltySeconds(engine, now)
                    + versionPenaltySeconds(engine, versions)
                    + cachePenaltySeconds(prefill, engine)
                    + Math.max(
                            PromptCosts.transferSeconds(settings, tokens, sourceDataCentre, engine),
                            engine.handoffSeconds(typicalSeconds, now) * engine.statedSlowdown(now))
                    + engine.requests(peerLoads.onServer(engine.server().id()), now)
                            * SECONDS_PER_DECODE_REQUEST
                            * engine.statedSlowdown(now)
                    + random.nextDouble() * TIE_BREAK_SECONDS;
            if (score < bestScore) {
                best = engine;
                bestScore = score;
            }
        }
        return Optional.ofNullable(best);
    }
}
