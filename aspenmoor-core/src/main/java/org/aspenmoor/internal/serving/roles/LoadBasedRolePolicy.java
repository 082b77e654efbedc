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
 * Reassigns a prefill engine to decoding while the longest answers would miss their deadline, and reverts this when
 * prompts need the engine. Event intervals are in seconds.
 *
 * <p>It is designed for a load that alternates: for ten seconds or more, many long answers and few prompts are
 * requested, then the reverse. The decode engines then generate each answer so slowly that the longest are cut off at
 * their deadline, while prefill engines are idle. Engines differ in speed: the fastest prefill engine is reassigned to
 * decoding and the slowest decode engine is reassigned back, so that a slow engine does not stay with work that needs a
 * fast one. A slow decode engine is exchanged as soon as the prompt load allows it, before that load rises again.
 */
public final class LoadBasedRolePolicy {
    /**
     * Fraction of the required event interval above which decode engines count as overloaded: a few more answers
     * would make them too slow.
     */
    private static final double OVERLOAD_FRACTION = 0.8;

    /**
     * Fraction of the event interval that grows with the number of answers on an engine; the rest remains with few
     * answers too.
     */
    private static final double LOAD_DEPENDENT_FRACTION = 0.5;

    /**
     * Minimum number of checks between two changes: the engine has to be available in its new role and to have an
     * effect.
     */
    private static final int MIN_CHECKS_BETWEEN_CHANGES = 3;

    /**
     * Engines whose event intervals differ by a smaller factor count as equally fast; with even load, larger
     * differences are due to the engine itself.
     */
    private static final double UNEVEN_RATIO = 1.15;

    private int checksSinceChange = MIN_CHECKS_BETWEEN_CHANGES;

    /** Records that an engine has accepted a change. */
    public void changeAccepted() {
        checksSinceChange = 0;
    }

    /** Returns the change that is due, if any; has to be called at regular intervals while there is traffic. */
    public Optional<PlannedRoleChange> nextChange(ServiceLoad service) {
        checksSinceChange++;
        boolean changing = service.engines().stream().anyMatch(EngineState::changingRole);
        if (changing
                || checksSinceChange < MIN_CHECKS_BETWEEN_CHANGES
                || service.requiredEventSeconds().isEmpty()) {
            return Optional.empty();
        }
        List<EngineState> decodeEngines = readyEngines(EngineRole.DECODE, service);
        List<EngineState> prefillEngines = readyEngines(EngineRole.PREFILL, service);
        int targetDecodeEngines = RoleRatioPolicy.targetDecodeEngines(decodeEngines.size() + prefillEngines.size());
        double requiredEventSeconds = service.requiredEventSeconds().get();
        boolean mayReassign =
                decodeEngines.size() >= targetDecodeEngines && decodeEngines.size() < prefillEngines.size();
        if (mayReassign
                && service.promptLoad() == PromptLoad.EASY
                && isOverloaded(decodeEngines, requiredEventSeconds)) {
            return changeFastestToDecode(prefillEngines);
        }
        boolean shouldRevert = decodeEngines.size() > targetDecodeEngines
                && canRevert(service.promptLoad(), decodeEngines, requiredEventSeconds);
        return shouldRevert ? changeOneToPrefill(decodeEngines) : Optional.empty();
    }

    /**
     * Returns whether the slowest decode engine is too slow. One is enough: it generates as many of the longest answers
     * as any other engine.
     */
    private static boolean isOverloaded(List<EngineState> decodeEngines, double requiredEventSeconds) {
        return longestEventInterval(decodeEngines) > OVERLOAD_FRACTION * requiredEventSeconds;
    }

    /**
     * Returns whether a decode engine can return to prefill. The remaining engines take over its answers, and their
     * event interval grows by {@link #LOAD_DEPENDENT_FRACTION} of the share that each takes over. While the prompt load
     * is easy, an engine returns only to exchange a slow one.
     */
    private static boolean canRevert(PromptLoad prompts, List<EngineState> decodeEngines, double requiredEventSeconds) {
        double growthFactor = 1 + LOAD_DEPENDENT_FRACTION / (decodeEngines.size() - 1);
        double eventSecondsWithoutEngine =
                eventIntervals(decodeEngines).average().orElse(0) * growthFactor;
        boolean fastEnough = eventSecondsWithoutEngine < requiredEventSeconds;
        return switch (prompts) {
            case PRESSED -> true;
            case USUAL -> fastEnough;
            case EASY -> fastEnough && hasUnevenSpeeds(decodeEngines);
        };
    }

    private static boolean hasUnevenSpeeds(List<EngineState> decodeEngines) {
        return longestEventInterval(decodeEngines) > UNEVEN_RATIO * shortestEventInterval(decodeEngines);
    }

    private static double longestEventInterval(List<EngineState> engines) {
        return eventIntervals(engines).max().orElse(0);
    }

    private static double shortestEventInterval(List<EngineState> engines) {
        return eventIntervals(engines).min().orElse(0);
    }

    /** Engines that generate no answers yet have no event interval. */
    private static DoubleStream eventIntervals(List<EngineState> engines) {
        return engines.stream()
                .flatMap(engine -> engine.load().secondsPerEvent().stream())
                .mapToDouble(Double::doubleValue);
    }

    private static Optional<PlannedRoleChange> changeFastestToDecode(List<EngineState> engines) {
        return engines.stream()
                .min(Comparator.comparingDouble(EngineState::slowdown).thenComparing(LoadBasedRolePolicy::id))
                .map(engine -> new PlannedRoleChange(engine.server(), EngineRole.DECODE));
    }

    /**
     * Changes the slowest decode engine to prefill, or the one with the fewest requests if all are about equally fast.
     */
    private static Optional<PlannedRoleChange> changeOneToPrefill(List<EngineState> engines) {
        List<EngineState> byInterval = new ArrayList<>(engines);
        byInterval.sort(
                Comparator.comparingDouble(LoadBasedRolePolicy::eventInterval).thenComparing(LoadBasedRolePolicy::id));
        EngineState slowest = byInterval.getLast();
        EngineState chosen = hasUnevenSpeeds(engines)
                ? slowest
                : engines.stream()
                        .min(Comparator.comparingDouble(engine -> engine.load().requests()))
                        .orElse(slowest);
        return Optional.of(new PlannedRoleChange(chosen.server(), EngineRole.PREFILL));
    }

    private static double eventInterval(EngineState engine) {
        return engine.load().secondsPerEvent().orElse(0.0);
    }

    private static String id(EngineState engine) {
        return engine.server().id();
    }

    private static List<EngineState> readyEngines(EngineRole role, ServiceLoad service) {
        return service.engines().stream()
                .filter(engine -> engine.server().role() == role
                        && engine.server().state() == BackendState.READY
                        && !engine.restricted())
                .toList();
    }
}
