package org.aspenmoor.internal.serving;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.aspenmoor.internal.dissemination.StableHash;
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

    /** Added to a staged placement, in seconds: a second request's way there and back, and the price of the transfer. */
    private static final double STAGED_SECONDS = 0.035;

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

    /** The fixed part of an engine's first token, in seconds: scheduling, first step and the way. */
    private static final double FIRST_TOKEN_SECONDS = 0.035;

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

    /** Shorter parts are computed about as fast as a transfer is set up. */
    private static final int LEAST_FETCHED_TOKENS = 1024;

    /** Transfers between data centres take twice as long. */
    private static final double REMOTE_TRANSFER_FACTOR = 2;

    /** Prompts kept for the next report, which so stays one datagram; more are only a lost hint. */
    private static final int MOST_UNTOLD_PROMPTS = 24;

    /**
     * Added where a prompt that no engine keeps is computed away from its home, in seconds: entries that meet the same new
     * prompt at the same moment should not compute it at two engines.
     */
    private static final double AWAY_SECONDS = 0.02;

    private static final double PAIRS_OF_MEGAPAIR = 1e6;

    private final RandomGenerator random;
    private final Map<String, ServerBelief> beliefs = new LinkedHashMap<>();
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
        ServerBelief known = beliefs.get(server.id());
        if (known != null && known.server().sameStart(server)) {
            known.update(server, cacheTokens);
            return;
        }
        beliefs.put(server.id(), new ServerBelief(server, cacheTokens));
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
        return withinTime(best, request.timeLeft());
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

    /** Notes that an attempt begins; the result belongs to the other calls about it. */
    public PlacedWork placed(BackendServer server, double workSeconds, long now) {
        ServerBelief belief = beliefs.get(server.id());
        double waitSeconds = belief == null ? 0 : waitSeconds(belief, now);
        PlacedWork work =
                new PlacedWork(server.id(), now, workSeconds, waitSeconds + workSeconds + FIRST_TOKEN_SECONDS);
        if (belief != null) {
            belief.placed(work);
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
    }

    /** Notes the load that came with an answer. */
    public void reported(PlacedWork work, ReportedLoad load, long now) {
        ServerBelief belief = beliefs.get(work.server());
        if (belief != null) {
            belief.reported(load, now);
        }
    }

    /** Returns this entry's own part of the load, for the other entries; servers without any are left out. */
    public Map<String, PeerShare> ownShares() {
        Map<String, PeerShare> shares = new HashMap<>();
        beliefs.forEach((id, belief) -> {
            PeerShare share = belief.ownShare();
            if (share.requests() > 0) {
                shares.put(id, share);
            }
        });
        return shares;
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
        return new Placement.Whole(
                best.server(), Optional.empty(), PLAIN_WORK_SECONDS, waitSeconds(best, now) + PLAIN_WORK_SECONDS);
    }

    private Placement generation(PlacementRequest request, Prompt prompt, List<ServerBelief> usable, long now) {
        ServerBelief home = home(prompt, usable);
        Optional<HeldPrompt> held = held(prompt, usable, now);
        ServerBelief decode = leastBusyDecoder(usable, prompt.promptTokens(), settings.dataCentre(), now);
        Placement best = new Placement.Refused("no engine that may answer is known", NO_SERVER_PAUSE);
        double bestSeconds = Double.MAX_VALUE;
        for (ServerBelief belief : usable) {
            boolean staged = belief.server().role() == EngineRole.PREFILL;
            if (staged && (decode == null || !request.mayStage())) {
                continue;
            }
            PromptWork work = promptWork(belief, prompt, home, held);
            double begins = waitSeconds(belief, now) + work.seconds() + FIRST_TOKEN_SECONDS;
            double answer = staged ? begins + handOverSeconds(prompt, decode, now) : begins;
            double seconds = answer + penaltySeconds(belief, now) + harmShare(belief, now) * work.seconds();
            if (seconds < bestSeconds) {
                bestSeconds = seconds;
                best = staged
                        ? new Placement.Staged(belief.server(), work.holder(), work.seconds(), answer)
                        : new Placement.Whole(belief.server(), work.holder(), work.seconds(), answer);
            }
        }
        return best;
    }

    private double waitSeconds(ServerBelief belief, long now) {
        return belief.waitSeconds(peers.on(belief.server().id()), now);
    }

    private double handOverSeconds(Prompt prompt, ServerBelief decode, long now) {
        return STAGED_SECONDS + settings.speed().handOverSeconds(prompt.promptTokens()) + waitSeconds(decode, now);
    }

    /**
     * Returns what an engine has to do for a prompt. Parts that it lacks are fetched from an engine that keeps them: moving
     * them takes milliseconds, computing them again a tenth of a second and more.
     */
    private PromptWork promptWork(ServerBelief belief, Prompt prompt, ServerBelief home, Optional<HeldPrompt> held) {
        int believed = belief.cache().cachedTokens(prompt);
        double alone = computeSeconds(belief, prompt, believed) + (believed > 0 || belief == home ? 0 : AWAY_SECONDS);
        int fetched = held.map(HeldPrompt::tokens).orElse(0) - believed;
        if (fetched < LEAST_FETCHED_TOKENS) {
            return new PromptWork(alone, Optional.empty());
        }
        ServerBelief holder = held.orElseThrow().holder();
        double fetch = settings.speed().handOverSeconds(fetched) * distanceFactor(belief, holder);
        double compute = computeSeconds(belief, prompt, believed + fetched);
        return new PromptWork(fetch + compute, Optional.of(holder.server()));
    }

    /** Returns the engine that keeps most of a prompt. */
    private static Optional<HeldPrompt> held(Prompt prompt, List<ServerBelief> usable, long now) {
        HeldPrompt most = null;
        for (ServerBelief belief : usable) {
            int tokens = belief.cache().fetchableTokens(prompt, now);
            if (tokens > 0 && (most == null || tokens > most.tokens())) {
                most = new HeldPrompt(belief, tokens);
            }
        }
        return Optional.ofNullable(most);
    }

    private double computeSeconds(ServerBelief belief, Prompt prompt, int cached) {
        double computed = prompt.promptTokens() - cached;
        double megapairs = computed * (cached + computed / 2) / PAIRS_OF_MEGAPAIR;
        double seconds = settings.speed().prefillSeconds(computed) + megapairs * settings.secondsPerMegapair();
        return seconds * belief.slowness() / prefillShare(belief.server());
    }

    private static double distanceFactor(ServerBelief one, ServerBelief other) {
        return one.server().dataCentre().equals(other.server().dataCentre()) ? 1 : REMOTE_TRANSFER_FACTOR;
    }

    private double harmShare(ServerBelief belief, long now) {
        if (belief.server().role() != EngineRole.DECODE) {
            return HARM_SHARE;
        }
        return HARM_SHARE
                + STREAM_HARM_SHARE * belief.requests(peers.on(belief.server().id()), now);
    }

    private double prefillShare(BackendServer server) {
        return server.role() == EngineRole.DECODE ? settings.ownPromptShare() : 1;
    }

    private double penaltySeconds(ServerBelief belief, long now) {
        double distance = belief.server().dataCentre().equals(settings.dataCentre()) ? 0 : REMOTE_SECONDS;
        double paused = belief.health().paused(now) ? PAUSED_SECONDS : 0;
        return distance + paused + FAILURE_SECONDS * belief.health().failureShare();
    }

    /** Weighted rendezvous hashing: each engine draws a number that depends only on it and the prompt. */
    private ServerBelief home(Prompt prompt, List<ServerBelief> usable) {
        String shared = prompt.sharedIdentity();
        ServerBelief home = usable.getFirst();
        double best = Double.NEGATIVE_INFINITY;
        for (ServerBelief belief : usable) {
            long hash = StableHash.of(shared, belief.server().id());
            double drawn = ((hash >>> 11) + 0.5) * 0x1.0p-53;
            double score = -prefillShare(belief.server()) / Math.log(drawn);
            if (score > best) {
                best = score;
                home = belief;
            }
        }
        return home;
    }

    /** Transfers to an engine follow one another, so its requests stand for the transfers that go before. */
    private ServerBelief leastBusyDecoder(List<ServerBelief> usable, int tokens, String from, long now) {
        ServerBelief best = null;
        double bestScore = Double.MAX_VALUE;
        for (ServerBelief belief : usable) {
            if (belief.server().role() == EngineRole.PREFILL) {
                continue;
            }
            double factor = belief.server().dataCentre().equals(from) ? 1 : REMOTE_TRANSFER_FACTOR;
            double score = waitSeconds(belief, now)
                    + penaltySeconds(belief, now)
                    + factor * settings.speed().handOverSeconds(tokens)
                    + belief.requests(peers.on(belief.server().id()), now) * STREAM_SECONDS
                    + random.nextDouble() * TIE_SECONDS;
            if (score < bestScore) {
                best = belief;
                bestScore = score;
            }
        }
        return best;
    }

    private static Placement withinTime(Placement best, Duration timeLeft) {
        double expected = switch (best) {
            case Placement.Whole whole -> whole.expectedSeconds();
            case Placement.Staged staged -> staged.expectedSeconds();
            case Placement.Refused refused -> 0;
        };
        double left = timeLeft.toNanos() / NANOSECONDS;
        if (expected <= left) {
            return best;
        }
        Duration comeBack = Duration.ofNanos((long) ((expected - left) * NANOSECONDS));
        return new Placement.Refused(
                String.format("the answer would begin in %.2f s and %.2f s are left", expected, left), comeBack);
    }

    private record HeldPrompt(ServerBelief holder, int tokens) {}

    private record PromptWork(double seconds, Optional<BackendServer> holder) {}
}
