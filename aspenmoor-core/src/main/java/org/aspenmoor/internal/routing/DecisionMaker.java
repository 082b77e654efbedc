package org.aspenmoor.internal.routing;

import java.util.Optional;
import java.util.OptionalDouble;

/** Decides between one engine for the whole request and two stages, by the earlier expected finish. */
final class DecisionMaker {
    private DecisionMaker() {}

    static Optional<RoutingDecision> decide(
            Optional<StageEstimate> whole, Optional<StageEstimate> prefill, Optional<StageEstimate> decode) {
        if (prefill.isEmpty() || decode.isEmpty()) {
            return whole.map(estimate -> onOneEngine(estimate, OptionalDouble.empty()));
        }
        if (prefill.get().engine() == decode.get().engine()) {
            return whole.map(estimate -> onOneEngine(estimate, OptionalDouble.empty()));
        }
        double twoStageFinish = prefill.get().promptSeconds() + decode.get().answerSeconds();
        double twoStageScore = prefill.get().score() + decode.get().score();
        if (whole.isPresent() && whole.get().score() <= twoStageScore) {
            return whole.map(estimate -> onOneEngine(estimate, OptionalDouble.of(twoStageFinish)));
        }
        OptionalDouble wholeFinish = whole.map(estimate -> OptionalDouble.of(estimate.finishSeconds()))
                .orElse(OptionalDouble.empty());
        return Optional.of(inTwoStages(prefill.get(), decode.get(), wholeFinish));
    }

    private static RoutingDecision onOneEngine(StageEstimate whole, OptionalDouble otherWaySeconds) {
        return new RoutingDecision(
                whole.engine().name(),
                Optional.empty(),
                whole.cachedTokens(),
                whole.waitSeconds(),
                whole.promptSeconds(),
                whole.finishSeconds(),
                otherWaySeconds);
    }

    private static RoutingDecision inTwoStages(
            StageEstimate prefill, StageEstimate decode, OptionalDouble otherWaySeconds) {
        return new RoutingDecision(
                decode.engine().name(),
                Optional.of(prefill.engine().name()),
                prefill.cachedTokens(),
                prefill.waitSeconds() + decode.waitSeconds(),
                prefill.promptSeconds(),
                prefill.promptSeconds() + decode.answerSeconds(),
                otherWaySeconds);
    }
}
