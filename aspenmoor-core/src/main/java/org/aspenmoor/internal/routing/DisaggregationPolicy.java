package org.aspenmoor.internal.routing;

import java.util.Optional;
import java.util.OptionalDouble;

/**
 * Decides whether one engine serves both prefill and decode or the stages are disaggregated, by the lower score: the
 * expected finish plus the delay caused to running requests.
 */
final class DisaggregationPolicy {
    private DisaggregationPolicy() {}

    static Optional<RoutingDecision> decide(
            Optional<StageEstimate> combined, Optional<StageEstimate> prefill, Optional<StageEstimate> decode) {
        if (prefill.isEmpty() || decode.isEmpty()) {
            return combined.map(estimate -> singleEngine(estimate, OptionalDouble.empty()));
        }
        if (prefill.get().engine() == decode.get().engine()) {
            return combined.map(estimate -> singleEngine(estimate, OptionalDouble.empty()));
        }
        double disaggregatedFinishSeconds =
                prefill.get().prefillFinishSeconds() + decode.get().answerSeconds();
        double disaggregatedScore = prefill.get().score() + decode.get().score();
        if (combined.isPresent() && combined.get().score() <= disaggregatedScore) {
            return combined.map(estimate -> singleEngine(estimate, OptionalDouble.of(disaggregatedFinishSeconds)));
        }
        OptionalDouble combinedFinishSeconds = combined.map(estimate -> OptionalDouble.of(estimate.finishSeconds()))
                .orElse(OptionalDouble.empty());
        return Optional.of(disaggregated(prefill.get(), decode.get(), combinedFinishSeconds));
    }

    private static RoutingDecision singleEngine(StageEstimate combined, OptionalDouble alternativeFinishSeconds) {
        return new RoutingDecision(
                combined.engine().name(),
                Optional.empty(),
                combined.cachedTokens(),
                combined.waitSeconds(),
                combined.prefillFinishSeconds(),
                combined.finishSeconds(),
                alternativeFinishSeconds);
    }

    private static RoutingDecision disaggregated(
            StageEstimate prefill, StageEstimate decode, OptionalDouble alternativeFinishSeconds) {
        return new RoutingDecision(
                decode.engine().name(),
                Optional.of(prefill.engine().name()),
                prefill.cachedTokens(),
                prefill.waitSeconds() + decode.waitSeconds(),
                prefill.prefillFinishSeconds(),
                prefill.prefillFinishSeconds() + decode.answerSeconds(),
                alternativeFinishSeconds);
    }
}
