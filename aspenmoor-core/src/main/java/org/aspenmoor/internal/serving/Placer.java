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
public final class Placer {
    private static final double NANOSECONDS = 1e9;

    /** What a refused caller is told where no server is known; servers that start or return show within a second. */
    private static final Duration NO_SERVER_PAUSE = Duration.ofMillis(600);

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

    /** The fixed part of an answer until answers are seen, in seconds: scheduling, first step and the way. */
    private static final double FIRST_TOKEN_SECONDS = 0.035;

    /** Fewer requests at a server than this are none: what its answers told of its load fades, and never quite to zero. */
    private static final double LEAST_REQUESTS = 0.5;

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

    /** Prompts kept for the next report, which so stays one datagram; more are only a lost hint. */
    private static final int MOST_UNTOLD_PROMPTS = 24;

    private final RandomGenerator random;
    private final Map<String, ServerBelief> beliefs = new LinkedHashMap<>();
    private final EngineSpeeds speeds = new EngineSpeeds();
    private final LongAnswers longAnswers = new LongAnswers();
    private final PeerLoads peers;
    private final List<PlacedPrompt> untold = new ArrayList<>();
    private PlacementSettings settings;

    public Placer(PlacementSettings settings, PeerLoads peers, RandomGenerator random) {
        this.settings = settings;
        this.peers = peers;
        this.random = random;
    }

    /** Takes changed settings up. */
    public void reload(PlacementSettings changed) {
        settings = changed;
    }

    /** Learns of a server, or that what is known of it has changed; cache tokens are above zero where it runs a model. */
    public void changed(BackendServer server, int cacheTokens) {
        SpeedEstimate speed = speeds.of(server.service(), server.role());
        ServerBelief known = beliefs.get(server.id());
        if (known != null && known.server().sameStart(server)) {
            known.update(server, cacheTokens, speed);
            return;
        }
        beliefs.put(server.id(), new ServerBelief(server, cacheTokens, speed));
    }

    /** Forgets a server. */
    public void removed(String id) {
        beliefs.remove(id);
    }

    /** Chooses where a request goes. */
    public Placement choose(PlacementRequest request, long now) {
        List<ServerBelief> usable = usable(request);
        if (usable.isEmpty()) {
            return new Placement.Refused("no backend server of " + request.service() + " is known", NO_SERVER_PAUSE);
        }
        Placement best = request.prompt().isPresent()
                ? generation(request, request.prompt().get(), usable, now)
                : plain(usable, now);
        boolean unknown = request.prompt().isPresent() && !speedKnown(best);
        return unknown ? best : QueueLimit.applied(best, request);
    }

    private boolean speedKnown(Placement placement) {
        return switch (placement) {
            case Placement.Whole whole -> beliefs.get(whole.server().id()).speedKnown();
            case Placement.Staged staged -> beliefs.get(staged.prefill().id()).speedKnown();
            case Placement.Held held -> true;
            case Placement.Refused refused -> true;
        };
    }

    /**
     * Chooses the engine that takes a computed prompt over. Computing may take seconds, in which an engine that was chosen
     * beforehand could have begun to leave; the request would be cut with it.
     */
    public Optional<BackendServer> chooseDecoder(PlacementRequest request, BackendServer prefill, long now) {
        int tokens = request.prompt().map(Prompt::promptTokens).orElse(0);
        ServerBelief chosen = leastBusyDecoder(usable(request), tokens, prefill.dataCentre(), now);
        return Optional.ofNullable(chosen).map(ServerBelief::server);
    }

    /**
     * Notes that an attempt begins; the result belongs to the other calls about it.
     *
     * @param objective within which the answer is on time
     */
    public PlacedWork placed(BackendServer server, WorkKind kind, double workSeconds, Duration objective, long now) {
        double tolerated = Pacing.toleratedSeconds(objective);
        ServerBelief belief = beliefs.get(server.id());
        if (belief == null) {
            double answer = workSeconds + FIRST_TOKEN_SECONDS;
            return new PlacedWork(server.id(), kind, now, workSeconds, workSeconds, answer, tolerated, false, false);
        }
        boolean paced = kind != WorkKind.PLAIN && Pacing.possible(objective, engines(server.service()));
        double speedSeconds = workSeconds / Pacing.slowness(belief, paced) * belief.slownessBySettings();
        double start = startSeconds(belief, kind, paced);
        double answer = waitSeconds(belief, now) + workSeconds + start;
        boolean longPrompt = kind != WorkKind.PLAIN && Pacing.isLong(belief, speedSeconds);
        boolean alone = belief.requests(peers.on(server.id()), now) < LEAST_REQUESTS;
        PlacedWork work =
                new PlacedWork(server.id(), kind, now, workSeconds, speedSeconds, answer, tolerated, longPrompt, alone);
        belief.placed(work);
        return work;
    }

    /** Notes that this entry has placed a prompt at an engine, which will keep it. */
    public void promptPlaced(BackendServer server, Prompt prompt, long now) {
        PlacedPrompt placed = new PlacedPrompt(server.id(), prompt.parts());
        promptPlacedByPeer(placed, now);
        if (untold.size() < MOST_UNTOLD_PROMPTS) {
            untold.add(placed);
        }
    }

    /** Notes that another entry has placed a prompt at an engine. */
    public void promptPlacedByPeer(PlacedPrompt placed, long now) {
        ServerBelief belief = beliefs.get(placed.server());
        if (belief != null) {
            long doneAt = now + (long) (waitSeconds(belief, now) * NANOSECONDS);
            belief.cache().placed(placed.parts(), doneAt);
        }
    }

    /** Notes which prompt parts an engine says that it keeps. */
    public void cacheListed(String server, List<PromptPart> parts, long now) {
        ServerBelief belief = beliefs.get(server);
        if (belief != null) {
            belief.cache().placed(parts, now);
        }
    }

    /** Returns the prompts that this entry has placed since it was last asked. */
    public List<PlacedPrompt> takeUntoldPrompts() {
        List<PlacedPrompt> taken = List.copyOf(untold);
        untold.clear();
        return taken;
    }

    /** Notes the first byte of an answer. */
    public void answerBegan(PlacedWork work, long now) {
        ServerBelief belief = beliefs.get(work.server());
        if (belief != null) {
            belief.answerBegan(work, now);
            belief.health().answered();
        }
        if (belief != null && work.kind() == WorkKind.HAND_OVER) {
            double took = (now - work.atNanoseconds()) / NANOSECONDS;
            belief.tookOver(took, now);
            speeds.tookOver(belief.server().service(), took);
        }
    }

    /** Notes an event of an answer that came so long after the one before it. */
    public void eventTold(PlacedWork work, Duration pause, long now) {
        ServerBelief belief = beliefs.get(work.server());
        if (belief != null) {
            belief.eventTold(pause.toNanos() / NANOSECONDS, now);
        }
    }

    /** Returns what runs at a server. */
    public EngineLoad load(String server, long now) {
        ServerBelief belief = beliefs.get(server);
        return belief == null ? EngineLoad.UNKNOWN : belief.load(peers.on(server), now);
    }

    /** Notes how long an answer has been told so far, out of the time that its request was allowed. */
    public void answerTold(String service, Duration told, Duration allowed, long now) {
        longAnswers.told(service, told, allowed, now);
    }

    /** Notes the load that came with an answer. */
    public void reported(PlacedWork work, ReportedLoad load, long now) {
        ServerBelief belief = beliefs.get(work.server());
        if (belief != null) {
            belief.reported(load, now);
        }
    }

    /** Returns this entry's own part of the load, for the other entries; servers without any are left out. */
    public Map<String, PeerShare> ownShares(long now) {
        Map<String, PeerShare> shares = new HashMap<>();
        beliefs.forEach((id, belief) -> {
            PeerShare share = belief.ownShare(now);
            if (share.requests() > 0) {
                shares.put(id, share);
            }
        });
        return shares;
    }

    /** Returns how fast this entry has found the engines, as far as it has seen enough answers. */
    public List<LearntSpeed> learntSpeeds() {
        return speeds.learnt();
    }

    /** Takes in how fast another entry has found the engines. */
    public void speedHeard(LearntSpeed heard) {
        speeds.heard(heard);
    }

    /** Returns what is believed of each server. */
    public List<ServerSummary> summaries(long now) {
        return beliefs.values().stream()
                .map(belief -> belief.summary(peers.on(belief.server().id()), now))
                .toList();
    }

    /** Returns whether the server has begun no answer to this entry since the attempt was placed. */
    public boolean silentSince(PlacedWork work) {
        ServerBelief belief = beliefs.get(work.server());
        return belief == null || belief.lastAnswerAt() < work.atNanoseconds();
    }

    /** Notes that an attempt is over, in whatever way. */
    public void ended(PlacedWork work) {
        ServerBelief belief = beliefs.get(work.server());
        if (belief != null) {
            belief.ended(work);
        }
    }

    /** Notes that a server answered with a failure of its own, or that its answer was lost. */
    public void failed(PlacedWork work, long now) {
        ServerBelief belief = beliefs.get(work.server());
        if (belief != null) {
            belief.health().failed(now);
        }
    }

    /** Notes that a server turned work away without running it. */
    public void rejected(PlacedWork work, long now) {
        ServerBelief belief = beliefs.get(work.server());
        if (belief != null) {
            belief.rejected(work, now);
        }
    }

    /** Notes that a server was not there: no connection came about, or another server answered at its address. */
    public void unreachable(PlacedWork work, long now) {
        ServerBelief belief = beliefs.get(work.server());
        if (belief != null) {
            belief.health().unreachable(now);
        }
    }

    private List<ServerBelief> usable(PlacementRequest request) {
        List<ServerBelief> usable = new ArrayList<>();
        for (ServerBelief belief : beliefs.values()) {
            BackendServer server = belief.server();
            boolean takesWork = server.service().equals(request.service())
                    && server.state() == BackendState.READY
                    && !request.avoided().contains(server.id());
            if (takesWork) {
                usable.add(belief);
            }
        }
        return usable;
    }

    private Placement plain(List<ServerBelief> usable, long now) {
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

    private double startSeconds(ServerBelief belief, WorkKind kind, boolean paced) {
        if (!paced) {
            return FIRST_TOKEN_SECONDS;
        }
        return switch (kind) {
            case PLAIN -> FIRST_TOKEN_SECONDS;
            case PROMPT_ONLY, WHOLE -> belief.fixedSeconds();
            case HAND_OVER -> speeds.handOverSeconds(belief.server().service());
        };
    }

    private List<ServerBelief> engines(String service) {
        return beliefs.values().stream()
                .filter(each -> each.server().service().equals(service))
                .toList();
    }

    private double handOverSeconds(PlacementRequest request, Prompt prompt, boolean paced) {
        return paced
                ? speeds.handOverSeconds(request.service())
                : STAGED_SECONDS + settings.speed().handOverSeconds(prompt.promptTokens());
    }

    private static boolean computes(ServerBelief belief, long now) {
        return belief.server().role() == EngineRole.PREFILL && !belief.health().paused(now);
    }

    private Placement generation(PlacementRequest request, Prompt prompt, List<ServerBelief> usable, long now) {
        boolean full = false;
        double leastSeconds = Double.MAX_VALUE;
        ServerBelief decode = leastBusyDecoder(usable, prompt.promptTokens(), settings.dataCentre(), now);
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

    private double waitSeconds(ServerBelief belief, long now) {
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
    private ServerBelief leastBusyDecoder(List<ServerBelief> usable, int tokens, String from, long now) {
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
        return best;
    }
}
