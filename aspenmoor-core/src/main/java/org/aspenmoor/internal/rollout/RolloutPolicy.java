package org.aspenmoor.internal.rollout;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.aspenmoor.internal.document.ServiceDocument;
import org.aspenmoor.internal.engine.EngineOrder;

/**
 * Decides which engines of one service in one data centre load which versions next.
 *
 * <p>It compares what the document declares with what the engines hold and keeps no state of its own but the budget, so
 * a planner that takes over in the middle goes on where the other stopped, and a rollback is the same comparison with
 * the earlier version declared.
 *
 * <ul>
 *   <li>An engine gets an order only when no stream runs on it: streams under the old version end under it.
 *   <li>An engine is drained only if another one keeps serving each model that it serves: the service always has one.
 *   <li>A version that failed to load and that no engine holds is tried on no further engine. Otherwise a version that
 *       cannot be loaded would take one engine after the other out of service.
 * </ul>
 */
public final class RolloutPolicy {
    private static final Comparator<RolloutEngine> LEAST_LOSS_FIRST = Comparator.comparingInt(
                    (RolloutEngine engine) -> engine.loaded().size())
            .thenComparingInt(RolloutEngine::runningStreams)
            .thenComparing(RolloutEngine::name);

    private final RolloutLimits limits;
    private final LoadBudget budget;

    public RolloutPolicy(RolloutLimits limits, LoadBudget budget) {
        this.limits = limits;
        this.budget = budget;
    }

    /** Returns what to do with each engine that does not hold what the document declares, or may serve again. */
    public List<RolloutDecision> decide(ServiceDocument document, List<RolloutEngine> engines) {
        Round round = new Round(new WantedLoads(document), engines);
        engines.stream().sorted(LEAST_LOSS_FIRST).forEach(round::decide);
        return round.decisions;
    }

    /** One look at all engines. */
    private final class Round {
        private final WantedLoads wanted;
        private final List<RolloutEngine> engines;
        private final List<RolloutDecision> decisions = new ArrayList<>();
        private final Set<String> takenAway = new HashSet<>();

        Round(WantedLoads wanted, List<RolloutEngine> engines) {
            this.wanted = wanted;
            this.engines = engines;
            engines.stream()
                    .filter(engine -> engine.is(EngineAvailability.DRAINING) || engine.is(EngineAvailability.LOADING))
                    .forEach(engine -> takenAway.add(engine.name()));
        }

        void decide(RolloutEngine engine) {
            if (engine.is(EngineAvailability.LOADING) || engine.is(EngineAvailability.GONE)) {
                return;
            }
            Optional<String> missing = wanted.firstMissing(engine.loaded());
            Optional<EngineOrder> order = missing.map(wanted::order).or(() -> wanted.firstUnload(engine.loaded()));
            if (order.isEmpty()) {
                if (engine.is(EngineAvailability.DRAINING)) {
                    decisions.add(new RolloutDecision.Resume(engine.name()));
                }
                return;
            }
            Optional<String> obstacle = obstacle(engine, missing);
            if (obstacle.isPresent()) {
                giveBack(engine, obstacle.get());
                return;
            }
            takenAway.add(engine.name());
            proceed(engine, order.get());
        }

        private Optional<String> obstacle(RolloutEngine engine, Optional<String> missing) {
            if (missing.isPresent() && isKnownToFail(missing.get(), engine)) {
                return Optional.of(missing.get() + " failed to load on another engine and is held by none");
            }
            if (engine.is(EngineAvailability.DRAINING)) {
                return Optional.empty();
            }
            if (takenAway.size() >= limits.mostAway()) {
                return Optional.of("as many engines as allowed are away");
            }
            return wanted.modelsServedBy(engine).stream()
                    .filter(model -> !isServedWithout(engine, model))
                    .findFirst()
                    .map(model -> "no other engine serves " + model + " now");
        }

        private boolean isKnownToFail(String item, RolloutEngine self) {
            boolean failedElsewhere = engines.stream()
                    .filter(engine -> !engine.name().equals(self.name()))
                    .anyMatch(engine -> engine.failedLoad().equals(Optional.of(item)));
            boolean failedHere = self.failedLoad().equals(Optional.of(item));
            return failedElsewhere
                    && !failedHere
                    && engines.stream().noneMatch(engine -> engine.loaded().contains(item));
        }

        private boolean isServedWithout(RolloutEngine leaving, String model) {
            return engines.stream()
                    .filter(engine -> !engine.name().equals(leaving.name()))
                    .filter(engine -> engine.is(EngineAvailability.SERVING))
                    .filter(engine -> !takenAway.contains(engine.name()))
                    .anyMatch(engine -> engine.holdsModel(model));
        }

        private void giveBack(RolloutEngine engine, String reason) {
            if (engine.is(EngineAvailability.DRAINING)) {
                decisions.add(new RolloutDecision.Resume(engine.name()));
            } else {
                decisions.add(new RolloutDecision.Hold(engine.name(), reason));
            }
        }

        private void proceed(RolloutEngine engine, EngineOrder order) {
            if (engine.is(EngineAvailability.SERVING) && !engine.loaded().isEmpty()) {
                // Also without a stream: one may be on its way until entries know that the engine is being drained.
                decisions.add(new RolloutDecision.Drain(engine.name()));
            } else if (engine.runningStreams() > 0) {
                decisions.add(new RolloutDecision.Hold(engine.name(), "its streams have not ended"));
            } else if (!budget.take()) {
                decisions.add(new RolloutDecision.Hold(engine.name(), "the weight store's rate is used up"));
            } else {
                decisions.add(new RolloutDecision.GiveOrder(engine.name(), order));
            }
        }
    }
}
