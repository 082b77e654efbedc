package org.aspenmoor.internal.serving;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.aspenmoor.internal.engine.EngineRole;

/** Ranks the servers that may take a request by when its answer would begin there and by whom that holds up. */
final class ServerRanking {
    /** The fixed part of an answer until answers are seen, in seconds: scheduling, first step and the way. */
    static final double DEFAULT_FIXED_SECONDS = 0.035;

    /** What a refused caller is told where no server is known; servers that start or return show within a second. */
    static final Duration NO_SERVER_RETRY_AFTER = Duration.ofMillis(600);

    /** Added to the wait in another data centre, in seconds: two crossings and the price of the bytes. */
    private static final double REMOTE_PENALTY_SECONDS = 0.004;

    /**
     * Added for a server that is paused after failures, in seconds: more than any wait that is worth it. It is still tried
     * where no other can take the work, since an attempt that fails loses no more than one that is not made.
     */
    private static final double PAUSED_PENALTY_SECONDS = 3;

    /** Added per unit of failure share, in seconds: a failed attempt costs about a repeat's whole way. */
    private static final double FAILURE_PENALTY_SECONDS = 0.5;

    /** Width of the random part of a plain placement, in seconds: entries with equal beliefs must not all agree. */
    private static final double TIE_BREAK_SECONDS = 0.002;

    /** What one request of a plain service is expected to take, in seconds; only ranks servers. */
    private static final double PLAIN_WORK_SECONDS = 0.02;

    /** Added to a staged placement where queues are not paced, in seconds: a second request's way and the transfer's price. */
    private static final double DEFAULT_HANDOFF_SECONDS = 0.035;

    /**
     * What each second of computing costs the requests behind it, in seconds. Without it an entry takes a prompt to any
     * engine that is free a little sooner; there its shared part is computed again, which fills the queues of all.
     */
    private static final double QUEUE_COST_PER_SECOND = 2;

    /**
     * What each second of computing at an engine for answers costs each stream there, in seconds: its tokens come between
     * the pieces of the prompt, at 70 to 100 ms instead of 5 ms each, and long answers miss their deadline.
     */
    private static final double STREAM_COST_PER_SECOND = 0.3;

    /** What each request at an engine for answers adds to the next one's start, in seconds: part of a transfer, slower steps. */
    private static final double SECONDS_PER_DECODE_REQUEST = 0.002;

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

    /** Chooses among plain servers, of which there is one at least. */
    Placement choosePlainServer(List<ServerEstimate> usable, long now) {
        ServerEstimate best = null;
        double bestScore = Double.MAX_VALUE;
        for (ServerEstimate estimate : usable) {
            double queue = (estimate.requests(peerLoads.onServer(estimate.server().id()), now) + 1)
                    / Math.max(1, estimate.server().slots());
            double score = Math.max(queue * PLAIN_WORK_SECONDS * estimate.slowdown(), waitSeconds(estimate, now))
                    + penaltySeconds(estimate, now)
                    + random.nextDouble() * TIE_BREAK_SECONDS;
            if (score < bestScore) {
                best = estimate;
                bestScore = score;
            }
        }
        double queue = waitSeconds(best, now);
        return new Placement.SingleServer(
                best.server(), Optional.empty(), PLAIN_WORK_SECONDS, queue, queue + PLAIN_WORK_SECONDS);
    }

    private double handoffSeconds(PlacementRequest request, Prompt prompt, boolean queuedAtEntry) {
        return queuedAtEntry
                ? speeds.handoffSeconds(request.service())
                : DEFAULT_HANDOFF_SECONDS + settings.engineSpeed().handOverSeconds(prompt.promptTokens());
    }

    private static boolean computesPrompts(ServerEstimate estimate, long now) {
        return estimate.server().role() == EngineRole.PREFILL && !estimate.health().paused(now);
    }

    /** Chooses the engine, or the pair of engines, for a prompt and its answer. */
    Placement chooseEngines(PlacementRequest request, Prompt prompt, List<ServerEstimate> usable, long now) {
        boolean engineFull = false;
        double minPromptSeconds = Double.MAX_VALUE;
        ServerEstimate decodeEngine = leastBusyDecodeEngine(usable, prompt.promptTokens(), settings.dataCentre(), now)
                .orElse(null);
        boolean canDisaggregate = request.mayDisaggregate() && decodeEngine != null && usable.stream().anyMatch(each -> computesPrompts(each, now));
        boolean queuedAtEntry = EntryQueueing.applicable(request.objective(), usable);
        PromptCosts costs = new PromptCosts(settings, prompt, usable, queuedAtEntry, now);
        boolean shortPrompt =
                decodeEngine != null && !EntryQueueing.isLongPrompt(decodeEngine, costs.workAt(decodeEngine).seconds());
        boolean spareDecodeEngines = queuedAtEntry && canDisaggregate && longAnswerDetector.inProgress(request.service(), now);
        Placement best = new Placement.Refused("no engine that may answer is known", NO_SERVER_RETRY_AFTER);
        double bestScore = Double.MAX_VALUE;
        for (ServerEstimate estimate : usable) {
            boolean disaggregated = estimate.server().role() == EngineRole.PREFILL;
            if (disaggregated && (decodeEngine == null || !request.mayDisaggregate())) {
                continue;
            }
            PromptCosts.EngineWork work = costs.workAt(estimate);
            boolean longPrompt = EntryQueueing.isLongPrompt(estimate, work.seconds());
            if (shortPrompt ? disaggregated : spareDecodeEngines && estimate.server().role() == EngineRole.DECODE) {
                continue;
            }
            boolean noRoom = request.othersQueued()
                    || !estimate.hasRoom(peerLoads.onServer(estimate.server().id()), now)
                    || (canDisaggregate && estimate.health().paused(now));
            if (queuedAtEntry && request.mayQueue() && longPrompt && noRoom) {
                engineFull = true;
                minPromptSeconds = Math.min(minPromptSeconds, work.seconds());
                continue;
            }
            double fixedSeconds = queuedAtEntry ? estimate.fixedSeconds() : DEFAULT_FIXED_SECONDS;
            double queueSeconds = waitSeconds(estimate, now);
            double firstTokenSeconds = queueSeconds + work.seconds() + fixedSeconds;
            double answerStartSeconds =
                    disaggregated ? firstTokenSeconds + handoffSeconds(request, prompt, queuedAtEntry) + waitSeconds(decodeEngine, now) : firstTokenSeconds;
            double score = answerStartSeconds + penaltySeconds(estimate, now) + costPerComputeSecond(estimate, now) * work.seconds();
            if (score < bestScore) {
                bestScore = score;
                best = disaggregated
                        ? new Placement.Disaggregated(estimate.server(), work.cacheHolder(), work.seconds(), queueSeconds, answerStartSeconds, queuedAtEntry)
                        : new Placement.SingleServer(estimate.server(), work.cacheHolder(), work.seconds(), queueSeconds, answerStartSeconds);
            }
        }
        return engineFull && best instanceof Placement.Refused ? new Placement.Queued(minPromptSeconds) : best;
    }

    /** Returns how long a new request probably waits at a server, given what the other entries have there. */
    double waitSeconds(ServerEstimate estimate, long now) {
        return estimate.waitSeconds(peerLoads.onServer(estimate.server().id()), now);
    }

    private double costPerComputeSecond(ServerEstimate estimate, long now) {
        if (estimate.server().role() != EngineRole.DECODE) {
            return QUEUE_COST_PER_SECOND;
        }
        return QUEUE_COST_PER_SECOND
                + STREAM_COST_PER_SECOND * estimate.requests(peerLoads.onServer(estimate.server().id()), now);
    }

    private double penaltySeconds(ServerEstimate estimate, long now) {
        double distancePenalty = estimate.server().dataCentre().equals(settings.dataCentre()) ? 0 : REMOTE_PENALTY_SECONDS;
        double pausedPenalty = estimate.health().paused(now) ? PAUSED_PENALTY_SECONDS : 0;
        return distancePenalty + pausedPenalty + FAILURE_PENALTY_SECONDS * estimate.health().failureFraction();
    }

    /** Transfers to an engine follow one another, so its requests stand for the transfers that go before. */
    Optional<ServerEstimate> leastBusyDecodeEngine(List<ServerEstimate> usable, int tokens, String sourceDataCentre, long now) {
        ServerEstimate best = null;
        double bestScore = Double.MAX_VALUE;
        for (ServerEstimate estimate : usable) {
            if (estimate.server().role() == EngineRole.PREFILL) {
                continue;
            }
            double typicalSeconds = speeds.handoffSeconds(estimate.server().service());
            double score = waitSeconds(estimate, now)
                    + penaltySeconds(estimate, now)
                    + Math.max(
                            PromptCosts.transferSeconds(settings, tokens, sourceDataCentre, estimate),
                            estimate.handoffSeconds(typicalSeconds, now))
                    + estimate.requests(peerLoads.onServer(estimate.server().id()), now) * SECONDS_PER_DECODE_REQUEST
                    + random.nextDouble() * TIE_BREAK_SECONDS;
            if (score < bestScore) {
                best = estimate;
                bestScore = score;
            }
        }
        return Optional.ofNullable(best);
    }
}
