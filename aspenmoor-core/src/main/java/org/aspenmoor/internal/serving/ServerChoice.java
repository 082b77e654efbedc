package org.aspenmoor.internal.serving;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.aspenmoor.internal.engine.EngineRole;

/** Ranks the servers that may take a request by when its answer would begin there and by whom that holds up. */
final class ServerChoice {
    /** The fixed part of an answer until answers are seen, in seconds: scheduling, first step and the way. */
    static final double FIRST_TOKEN_SECONDS = 0.035;

    /** What a refused caller is told where no server is known; servers that start or return show within a second. */
    static final Duration NO_SERVER_PAUSE = Duration.ofMillis(600);

    /** Added to the wait in another data centre, in seconds: two crossings and the price of the bytes. */
    private static final double REMOTE_SECONDS = 0.004;

    /**
     * Added for a server that is paused after failures, in seconds: more than any wait that is worth it. It is still tried
     * where no other can take the work, since an attempt that fails loses no more than one that is not made.
     */
    private static final double PAUSED_SECONDS = 3;

    /** Added per unit of failure share, in seconds: a failed attempt costs about a repeat's whole way. */
    private static final double FAILURE_SECONDS = 0.5;

    /** Width of the random part of a plain placement, in seconds: entries with equal beliefs must not all agree. */
    private static final double TIE_SECONDS = 0.002;

    /** What one request of a plain service is expected to take, in seconds; only ranks servers. */
    private static final double PLAIN_WORK_SECONDS = 0.02;

    /** Added to a staged placement where queues are not paced, in seconds: a second request's way and the transfer's price. */
    private static final double STAGED_SECONDS = 0.035;

    /**
     * What each second of computing costs the requests behind it, in seconds. Without it an entry takes a prompt to any
     * engine that is free a little sooner; there its shared part is computed again, which fills the queues of all.
     */
    private static final double HARM_SHARE = 2;

    /**
     * What each second of computing at an engine for answers costs each stream there, in seconds: its tokens come between
     * the pieces of the prompt, at 70 to 100 ms instead of 5 ms each, and long answers miss their deadline.
     */
    private static final double STREAM_HARM_SHARE = 0.3;

    /** What each request at an engine for answers adds to the next one's start, in seconds: part of a transfer, slower steps. */
    private static final double STREAM_SECONDS = 0.002;

    private final PlacementSettings settings;
    private final PeerLoads peers;
    private final EngineSpeeds speeds;
    private final LongAnswers longAnswers;
    private final RandomGenerator random;

    ServerChoice(
            PlacementSettings settings,
            PeerLoads peers,
            EngineSpeeds speeds,
            LongAnswers longAnswers,
            RandomGenerator random) {
        this.settings = settings;
        this.peers = peers;
        this.speeds = speeds;
        this.longAnswers = longAnswers;
        this.random = random;
    }

    /** Chooses among plain servers, of which there is one at least. */
    Placement plain(List<ServerBelief> usable, long now) {
        ServerBelief best = null;
        double bestSeconds = Double.MAX_VALUE;
        for (ServerBelief belief : usable) {
            double queue = (belief.requests(peers.on(belief.server().id()), now) + 1)
                    / Math.max(1, belief.server().slots());
            double seconds = Math.max(queue * PLAIN_WORK_SECONDS * belief.slowness(), waitSeconds(belief, now))
                    + penaltySeconds(belief, now)
                    + random.nextDouble() * TIE_SECONDS;
            if (seconds < bestSeconds) {
                best = belief;
                bestSeconds = seconds;
            }
        }
        double queue = waitSeconds(best, now);
        return new Placement.Whole(
                best.server(), Optional.empty(), PLAIN_WORK_SECONDS, queue, queue + PLAIN_WORK_SECONDS);
    }

    private double handOverSeconds(PlacementRequest request, Prompt prompt, boolean paced) {
        return paced
                ? speeds.handOverSeconds(request.service())
                : STAGED_SECONDS + settings.speed().handOverSeconds(prompt.promptTokens());
    }

    private static boolean computes(ServerBelief belief, long now) {
        return belief.server().role() == EngineRole.PREFILL && !belief.health().paused(now);
    }

    /** Chooses the engine, or the pair of engines, for a prompt and its answer. */
    Placement generation(PlacementRequest request, Prompt prompt, List<ServerBelief> usable, long now) {
        boolean full = false;
        double leastSeconds = Double.MAX_VALUE;
        ServerBelief decode = leastBusyDecoder(usable, prompt.promptTokens(), settings.dataCentre(), now)
                .orElse(null);
        boolean stages = request.mayStage() && decode != null && usable.stream().anyMatch(each -> computes(each, now));
        boolean paced = Pacing.possible(request.objective(), usable);
        PromptCosts costs = new PromptCosts(settings, prompt, usable, paced, now);
        boolean direct =
                decode != null && !Pacing.isLong(decode, costs.at(decode).seconds());
        boolean apart = paced && stages && longAnswers.underWay(request.service(), now);
        Placement best = new Placement.Refused("no engine that may answer is known", NO_SERVER_PAUSE);
        double bestSeconds = Double.MAX_VALUE;
        for (ServerBelief belief : usable) {
            boolean staged = belief.server().role() == EngineRole.PREFILL;
            if (staged && (decode == null || !request.mayStage())) {
                continue;
            }
            PromptCosts.PromptWork work = costs.at(belief);
            boolean longPrompt = Pacing.isLong(belief, work.seconds());
            if (direct ? staged : apart && belief.server().role() == EngineRole.DECODE) {
                continue;
            }
            boolean noRoom = request.othersWait()
                    || !belief.hasRoom(peers.on(belief.server().id()), now)
                    || (stages && belief.health().paused(now));
            if (paced && request.mayWait() && longPrompt && noRoom) {
                full = true;
                leastSeconds = Math.min(leastSeconds, work.seconds());
                continue;
            }
            double start = paced ? belief.fixedSeconds() : FIRST_TOKEN_SECONDS;
            double queue = waitSeconds(belief, now);
            double begins = queue + work.seconds() + start;
            double answer =
                    staged ? begins + handOverSeconds(request, prompt, paced) + waitSeconds(decode, now) : begins;
            double seconds = answer + penaltySeconds(belief, now) + harmShare(belief, now) * work.seconds();
            if (seconds < bestSeconds) {
                bestSeconds = seconds;
                best = staged
                        ? new Placement.Staged(belief.server(), work.holder(), work.seconds(), queue, answer, paced)
                        : new Placement.Whole(belief.server(), work.holder(), work.seconds(), queue, answer);
            }
        }
        return full && best instanceof Placement.Refused ? new Placement.Held(leastSeconds) : best;
    }

    /** Returns how long a new request probably waits at a server, given what the other entries have there. */
    double waitSeconds(ServerBelief belief, long now) {
        return belief.waitSeconds(peers.on(belief.server().id()), now);
    }

    private double harmShare(ServerBelief belief, long now) {
        if (belief.server().role() != EngineRole.DECODE) {
            return HARM_SHARE;
        }
        return HARM_SHARE
                + STREAM_HARM_SHARE * belief.requests(peers.on(belief.server().id()), now);
    }

    private double penaltySeconds(ServerBelief belief, long now) {
        double distance = belief.server().dataCentre().equals(settings.dataCentre()) ? 0 : REMOTE_SECONDS;
        double paused = belief.health().paused(now) ? PAUSED_SECONDS : 0;
        return distance + paused + FAILURE_SECONDS * belief.health().failureShare();
    }

    /** Transfers to an engine follow one another, so its requests stand for the transfers that go before. */
    Optional<ServerBelief> leastBusyDecoder(List<ServerBelief> usable, int tokens, String from, long now) {
        ServerBelief best = null;
        double bestScore = Double.MAX_VALUE;
        for (ServerBelief belief : usable) {
            if (belief.server().role() == EngineRole.PREFILL) {
                continue;
            }
            double elsewhere = speeds.handOverSeconds(belief.server().service());
            double score = waitSeconds(belief, now)
                    + penaltySeconds(belief, now)
                    + Math.max(
                            PromptCosts.transferSeconds(settings, tokens, from, belief),
                            belief.handOverSeconds(elsewhere, now))
                    + belief.requests(peers.on(belief.server().id()), now) * STREAM_SECONDS
                    + random.nextDouble() * TIE_SECONDS;
            if (score < bestScore) {
                best = belief;
                bestScore = score;
            }
        }
        return Optional.ofNullable(best);
    }
}
