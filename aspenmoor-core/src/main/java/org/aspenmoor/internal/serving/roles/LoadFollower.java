package org.aspenmoor.internal.serving.roles;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.stream.DoubleStream;
import org.aspenmoor.internal.engine.EngineRole;
import org.aspenmoor.internal.serving.BackendState;
import org.aspenmoor.internal.serving.EngineState;
import org.aspenmoor.internal.serving.PromptLoad;
import org.aspenmoor.internal.serving.ServiceLoad;

/**
 * Gives an engine to the answers while the longest of them would not be whole in time, and back when prompts need it.
 *
 * <p>The load it answers: for ten seconds and more many long answers come and few prompts, then the reverse. The engines
 * for answers then tell each answer so slowly that the longest are cut at their deadline, while engines for prompts stand
 * idle. Engines differ in speed: the quickest goes to the answers, the slowest goes back, so that a slow one does not stay
 * with work that needs a quick one. A slow one is exchanged as soon as prompts allow, before they come again.
 */
public final class LoadFollower {
    /** Answers that come at more than this part of the pace that they need become too slow with a few more beside them. */
    private static final double CROWDED_SHARE = 0.8;

    /** Part of the time between two events that grows with the answers at an engine; the rest is there with few of them too. */
    private static final double LOAD_SHARE = 0.5;

    /** Looks after a change until the next: the engine has to be there and to have an effect. */
    private static final int LEAST_LOOKS = 3;

    /** Engines whose pace differs by less are taken for equally quick; with even loads the rest is the engine's own. */
    private static final double NOTABLY_SLOWER = 1.15;

    private int looksSinceChange = LEAST_LOOKS;

    /** Notes that an engine has accepted a change. */
    public void changed() {
        looksSinceChange = 0;
    }

    /** Returns the change that is due; to be asked at even intervals while there is traffic. */
    public Optional<RoleMove> move(ServiceLoad service) {
        looksSinceChange++;
        boolean changing = service.engines().stream().anyMatch(EngineState::changingRole);
        if (changing
                || looksSinceChange < LEAST_LOOKS
                || service.requiredEventSeconds().isEmpty()) {
            return Optional.empty();
        }
        List<EngineState> answering = with(EngineRole.DECODE, service);
        List<EngineState> computing = with(EngineRole.PREFILL, service);
        int usual = RoleBalance.wantedDecoders(answering.size() + computing.size());
        double needed = service.requiredEventSeconds().get();
        boolean lend = answering.size() >= usual && answering.size() < computing.size();
        if (lend && service.promptLoad() == PromptLoad.EASY && tooSlow(answering, needed)) {
            return quickest(computing);
        }
        boolean takeBack = answering.size() > usual && mayTake(service.promptLoad(), answering, needed);
        return takeBack ? slowest(answering) : Optional.empty();
    }

    /** One slow engine is enough: as many of the longest answers are told there as elsewhere. */
    private static boolean tooSlow(List<EngineState> answering, double needed) {
        return slowestPace(answering) > CROWDED_SHARE * needed;
    }

    /** The answers of an engine that leaves them are told by the others, at a pace that grows by a part of their share. */
    private static boolean mayTake(PromptLoad prompts, List<EngineState> answering, double needed) {
        double grown = 1 + LOAD_SHARE / (answering.size() - 1);
        double paceWithout = paces(answering).average().orElse(0) * grown;
        boolean bearable = paceWithout < needed;
        return switch (prompts) {
            case PRESSED -> true;
            case USUAL -> bearable;
            case EASY -> bearable && uneven(answering);
        };
    }

    private static boolean uneven(List<EngineState> answering) {
        return slowestPace(answering) > NOTABLY_SLOWER * quickestPace(answering);
    }

    private static double slowestPace(List<EngineState> engines) {
        return paces(engines).max().orElse(0);
    }

    private static double quickestPace(List<EngineState> engines) {
        return paces(engines).min().orElse(0);
    }

    /** Engines that answer nobody yet show none. */
    private static DoubleStream paces(List<EngineState> engines) {
        return engines.stream()
                .flatMap(engine -> engine.load().secondsPerEvent().stream())
                .mapToDouble(Double::doubleValue);
    }

    private static Optional<RoleMove> quickest(List<EngineState> engines) {
        return engines.stream()
                .min(Comparator.comparingDouble(EngineState::slowdown).thenComparing(LoadFollower::id))
                .map(engine -> new RoleMove(engine.server(), EngineRole.DECODE));
    }

    private static Optional<RoleMove> slowest(List<EngineState> engines) {
        List<EngineState> byPace = new ArrayList<>(engines);
        byPace.sort(Comparator.comparingDouble(LoadFollower::ownPace).thenComparing(LoadFollower::id));
        EngineState slowest = byPace.getLast();
        EngineState chosen = uneven(engines)
                ? slowest
                : engines.stream()
                        .min(Comparator.comparingDouble(engine -> engine.load().requests()))
                        .orElse(slowest);
        return Optional.of(new RoleMove(chosen.server(), EngineRole.PREFILL));
    }

    private static double ownPace(EngineState engine) {
        return engine.load().secondsPerEvent().orElse(0.0);
    }

    private static String id(EngineState engine) {
        return engine.server().id();
    }

    private static List<EngineState> with(EngineRole role, ServiceLoad service) {
        return service.engines().stream()
                .filter(engine ->
                        engine.server().role() == role && engine.server().state() == BackendState.READY)
                .toList();
    }
}
