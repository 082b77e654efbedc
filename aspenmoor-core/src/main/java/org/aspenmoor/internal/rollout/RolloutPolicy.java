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
 * Decides which version each engine of one service in one data centre loads next.
 *
 * <p>The policy compares the versions that the document declares with those loaded on the engines, and keeps no state
 * but the load budget. A planner that takes over during a rollout therefore continues it, and a rollback is the same
 * comparison with the earlier version declared.
 *
 * <ul>
 *   <li>An engine receives an order only when no stream runs on it, so streams complete under the version they
 *       started with.
 *   <li>An engine is drained only if another engine continues to serve each of its models, so each model stays
 *       available.
 *   <li>A version that failed to load and that is loaded on no engine is not tried on further engines. Otherwise a
 *       version that cannot be loaded would take one engine after the other out of service.
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

    /** Returns the next step of each engine that differs from the document or that can accept requests again. */
    public List<RolloutDecision> decide(ServiceDocument document, List<RolloutEngine> engines) {
        Pass pass = new Pass(new DesiredLoads(document), engines);
        engines.stream().sorted(SMALLEST_CAPACITY_LOSS_FIRST).forEach(pass::decide);
        return pass.decisions;
    }

    /** One pass over all engines. */
    private final class Pass {
        private final DesiredLoads desired;
        private final List<RolloutEngine> engines;
        private final List<RolloutDecision> decisions = new ArrayList<>();
        private final Set<String> unavailable = new HashSet<>();

        Pass(DesiredLoads desired, List<RolloutEngine> engines) {
            this.desired = desired;
            this.engines = engines;
            engines.stream()
                    .filter(engine -> engine.hasAvailability(EngineAvailability.DRAINING)
                            || engine.hasAvailability(EngineAvailability.LOADING))
                    .forEach(engine -> unavailable.add(engine.name()));
        }

        void decide(RolloutEngine engine) {
            if (engine.hasAvailability(EngineAvailability.LOADING) || engine.hasAvailability(EngineAvailability.GONE)) {
                return;
            }
            Optional<String> missingItem = desired.firstMissing(engine.loaded());
            Optional<EngineOrder> order =
                    missingItem.map(desired::order).or(() -> desired.firstUnload(engine.loaded()));
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
                return Optional.of(missingItem.get() + " failed to load on another engine and is loaded on no engine");
            }
            if (engine.hasAvailability(EngineAvailability.DRAINING)) {
                return Optional.empty();
            }
            if (unavailable.size() >= limits.maxUnavailable()) {
                return Optional.of("the maximum number of engines is already draining or loading");
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
            if (engine.hasAvailability(EngineAvailability.SERVING)
                    && !engine.loaded().isEmpty()) {
                // Drained even without a stream: entries may send requests until they are notified of the drain.
                decisions.add(new RolloutDecision.Drain(engine.name()));
            } else if (engine.runningStreams() > 0) {
                decisions.add(new RolloutDecision.Hold(engine.name(), "streams are still running on the engine"));
            } else if (!budget.take()) {
                decisions.add(
                        new RolloutDecision.Hold(engine.name(), "the load budget of the weight store is exhausted"));
            } else {
                decisions.add(new RolloutDecision.SendOrder(engine.name(), order));
            }
        }
    }
}
