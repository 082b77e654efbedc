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

    /** Fewer requests at a server than this are none: what its answers told of its load fades, and never quite to zero. */
    private static final double LEAST_REQUESTS = 0.5;

    /** Events that an answer tells on average before it leaves an engine that changes its role. */
    private static final int EVENTS_BEFORE_LEAVING = 8;

    /** Prompts kept for the next report, which so stays one datagram; more are only a lost hint. */
    private static final int MOST_UNTOLD_PROMPTS = 24;

    private final RandomGenerator random;
    private final Map<String, ServerBelief> beliefs = new LinkedHashMap<>();
    private final EngineSpeeds speeds = new EngineSpeeds();
    private final LongAnswers longAnswers = new LongAnswers();
    private final AnswerLengths lengths = new AnswerLengths();
    private final Map<String, PromptPressure> pressures = new HashMap<>();
    private final PeerLoads peers;
    private final List<PlacedPrompt> untold = new ArrayList<>();
    private ServerChoice choice;

    public Placer(PlacementSettings settings, PeerLoads peers, RandomGenerator random) {
        this.peers = peers;
        this.random = random;
        reload(settings);
    }

    /** Takes changed settings up. */
    public void reload(PlacementSettings settings) {
        choice = new ServerChoice(settings, peers, speeds, longAnswers, random);
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
        List<ServerBelief> usable = usable(request, now);
        if (usable.isEmpty()) {
            return new Placement.Refused(
                    "no backend server of " + request.service() + " is known", ServerChoice.NO_SERVER_PAUSE);
        }
        Placement best = request.prompt().isPresent()
                ? choice.generation(request, request.prompt().get(), usable, now)
                : choice.plain(usable, now);
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
        return choice.leastBusyDecoder(usable(request, now), tokens, prefill.dataCentre(), now)
                .map(ServerBelief::server);
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
            double answer = workSeconds + ServerChoice.FIRST_TOKEN_SECONDS;
            return new PlacedWork(server.id(), kind, now, workSeconds, workSeconds, answer, tolerated, false, false);
        }
        boolean paced = kind != WorkKind.PLAIN && Pacing.possible(objective, engines(server.service()));
        double speedSeconds = workSeconds / Pacing.slowness(belief, paced) * belief.slownessBySettings();
        double start = startSeconds(belief, kind, paced);
        double answer = choice.waitSeconds(belief, now) + workSeconds + start;
        boolean longPrompt = kind != WorkKind.PLAIN && Pacing.isLong(belief, speedSeconds);
        boolean alone = belief.requests(peers.on(server.id()), now) < LEAST_REQUESTS;
        PlacedWork work =
                new PlacedWork(server.id(), kind, now, workSeconds, speedSeconds, answer, tolerated, longPrompt, alone);
        belief.placed(work);
        if (kind == WorkKind.PROMPT_ONLY) {
            pressure(server.service()).sent(workSeconds, paced);
        }
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
            long doneAt = now + (long) (choice.waitSeconds(belief, now) * NANOSECONDS);
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

    /** Notes a request of a model for an answer that should be whole within some time. */
    public void answerWanted(String service, Prompt prompt, Duration allowed, long now) {
        lengths.asked(service, prompt, allowed, now);
    }

    /** Notes that an answer has come to its end with so many events. */
    public void answerWhole(String service, Prompt prompt, int events) {
        lengths.whole(service, prompt, events);
    }

    /** Returns how long this entry has found the events of answers, as far as it has seen enough. */
    public List<EventLength> eventLengths() {
        return lengths.learnt();
    }

    /** Takes in how long another entry has found the events of answers. */
    public void eventLengthHeard(EventLength heard) {
        lengths.heard(heard);
    }

    /** Notes that an engine has been told to change its role; until it has, nothing new is placed there. */
    public void roleChanging(RoleChange change, long now) {
        ServerBelief belief = beliefs.get(change.server());
        if (belief != null) {
            belief.changing(change.role(), now);
        }
    }

    /** Returns whether an engine is changing its role. */
    public boolean changing(String server, long now) {
        ServerBelief belief = beliefs.get(server);
        return belief != null && belief.changing(now);
    }

    /**
     * Returns whether an answer should go on elsewhere now, since its engine is about to answer nobody; to be asked at each
     * event. Answers leave one by one: all at once they would be read in at the other engines one after the other, and pause
     * for too long.
     */
    public boolean answerLeaves(PlacedWork work, long now) {
        return leavesAnswers(work, now) && random.nextInt(EVENTS_BEFORE_LEAVING) == 0;
    }

    /** Returns whether the answers of an engine should go on at another one. */
    boolean leavesAnswers(PlacedWork work, long now) {
        ServerBelief belief = beliefs.get(work.server());
        return belief != null && belief.leavesAnswers(now);
    }

    /** Samples how much the prompts of a service press; to be called several times a second. */
    public void samplePressure(String service, boolean waiting, long now) {
        int computing = (int) engines(service).stream()
                .filter(each -> each.server().role() == EngineRole.PREFILL && !each.changing(now))
                .count();
        pressure(service).sample(peers.heardEntries() + 1, computing, waiting, now);
    }

    /** Returns what the engines of a service do and what is asked of them. */
    public ServiceLoad serviceLoad(String service, long now) {
        List<EngineState> engines = engines(service).stream()
                .map(each -> each.state(peers.on(each.server().id()), now))
                .toList();
        return new ServiceLoad(
                service,
                engines,
                lengths.neededPace(service, now),
                pressure(service).load());
    }

    private PromptPressure pressure(String service) {
        return pressures.computeIfAbsent(service, unseen -> new PromptPressure());
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

    /** Returns whether the server of an attempt has told this entry nothing of any answer since a moment. */
    public boolean nothingHeardSince(PlacedWork work, long since) {
        ServerBelief belief = beliefs.get(work.server());
        return belief == null || belief.lastHeardAt() <= since;
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

    private List<ServerBelief> usable(PlacementRequest request, long now) {
        List<ServerBelief> usable = new ArrayList<>();
        for (ServerBelief belief : beliefs.values()) {
            BackendServer server = belief.server();
            boolean takesWork = server.service().equals(request.service())
                    && server.state() == BackendState.READY
                    && !belief.changing(now)
                    && !request.avoided().contains(server.id());
            if (takesWork) {
                usable.add(belief);
            }
        }
        return usable;
    }

    private double startSeconds(ServerBelief belief, WorkKind kind, boolean paced) {
        if (!paced) {
            return ServerChoice.FIRST_TOKEN_SECONDS;
        }
        return switch (kind) {
            case PLAIN -> ServerChoice.FIRST_TOKEN_SECONDS;
            case PROMPT_ONLY, WHOLE -> belief.fixedSeconds();
            case HAND_OVER -> speeds.handOverSeconds(belief.server().service());
        };
    }

    private List<ServerBelief> engines(String service) {
        return beliefs.values().stream()
                .filter(each -> each.server().service().equals(service))
                .toList();
    }
}
