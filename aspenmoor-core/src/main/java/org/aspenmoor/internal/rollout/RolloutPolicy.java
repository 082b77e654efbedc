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
    private static final Comparator<RolloutEngine> SMALLEST_CAPACITY_LOSS_FIRST = Comparator.comparingInt(
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
        Pass pass = new Pass(new DesiredLoads(document), engines);
        engines.stream().sorted(SMALLEST_CAPACITY_LOSS_FIRST).forEach(pass::decide);
        return pass.decisions;
    }

    /** One look at all engines. */
    private final class Pass {
        private final DesiredLoads desired;
        private final List<RolloutEngine> engines;
        private final List<RolloutDecision> decisions = new ArrayList<>();
        private final Set<String> unavailable = new HashSet<>();

        Pass(DesiredLoads desired, List<RolloutEngine> engines) {
            this.desired = desired;
            this.engines = engines;
            engines.stream()
                    .filter(engine -> engine.hasAvailability(EngineAvailability.DRAINING) || engine.hasAvailability(EngineAvailability.LOADING))
                    .forEach(engine -> unavailable.add(engine.name()));
        }

        void decide(RolloutEngine engine) {
            if (engine.hasAvailability(EngineAvailability.LOADING) || engine.hasAvailability(EngineAvailability.GONE)) {
                return;
            }
            Optional<String> missingItem = desired.firstMissing(engine.loaded());
            Optional<EngineOrder> order = missingItem.map(desired::order).or(() -> desired.firstUnload(engine.loaded()));
            if (order.isEmpty()) {
                if (engine.hasAvailability(EngineAvailability.DRAINING)) {
                    decisions.add(new RolloutDecision.Resume(engine.name()));
                }
                return;
            }
            Optional<String> obstacle = obstacle(engine, missingItem);
            if (obstacle.isPresent()) {
                resumeOrHold(engine, obstacle.get());
                return;
            }
            unavailable.add(engine.name());
            advance(engine, order.get());
        }

        private Optional<String> obstacle(RolloutEngine engine, Optional<String> missingItem) {
            if (missingItem.isPresent() && isKnownToFail(missingItem.get(), engine)) {
                return Optional.of(missingItem.get() + " failed to load on another engine and is held by none");
            }
            if (engine.hasAvailability(EngineAvailability.DRAINING)) {
                return Optional.empty();
            }
            if (unavailable.size() >= limits.maxUnavailable()) {
                return Optional.of("as many engines as allowed are away");
            }
            return desired.declaredModelsOn(engine).stream()
                    .filter(model -> !isServedWithout(engine, model))
                    .findFirst()
                    .map(model -> "no other engine serves " + model + " now");
        }

        private boolean isKnownToFail(String item, RolloutEngine candidate) {
            boolean failedElsewhere = engines.stream()
                    .filter(engine -> !engine.name().equals(candidate.name()))
                    .anyMatch(engine -> engine.failedLoad().equals(Optional.of(item)));
            boolean failedHere = candidate.failedLoad().equals(Optional.of(item));
            return failedElsewhere
                    && !failedHere
                    && engines.stream().noneMatch(engine -> engine.loaded().contains(item));
        }

        private boolean isServedWithout(RolloutEngine candidate, String model) {
            return engines.stream()
                    .filter(engine -> !engine.name().equals(candidate.name()))
                    .filter(engine -> engine.hasAvailability(EngineAvailability.SERVING))
                    .filter(engine -> !unavailable.contains(engine.name()))
                    .anyMatch(engine -> engine.holdsModel(model));
        }

        private void resumeOrHold(RolloutEngine engine, String reason) {
            if (engine.hasAvailability(EngineAvailability.DRAINING)) {
                decisions.add(new RolloutDecision.Resume(engine.name()));
            } else {
                decisions.add(new RolloutDecision.Hold(engine.name(), reason));
            }
        }

        private void advance(RolloutEngine engine, EngineOrder order) {
            if (engine.hasAvailability(EngineAvailability.SERVING) && !engine.loaded().isEmpty()) {
                // Also without a stream: one may be on its way until entries know that the engine is being drained.
                decisions.add(new RolloutDecision.Drain(engine.name()));
            } else if (engine.runningStreams() > 0) {
                decisions.add(new RolloutDecision.Hold(engine.name(), "its streams have not ended"));
            } else if (!budget.take()) {
                decisions.add(new RolloutDecision.Hold(engine.name(), "the weight store's rate is used up"));
            } else {
                decisions.add(new RolloutDecision.SendOrder(engine.name(), order));
            }
        }
    }
}
