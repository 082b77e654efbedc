package org.aspenmoor.internal.rollout;

import org.aspenmoor.internal.engine.EngineOrder;

/** What happens to one engine next. */
public sealed interface RolloutDecision {
    /** Returns the engine. */
    String engine();

    /**
     * Give it no new work; its streams end where they are.
     *
     * @param engine the engine
     */
    record Drain(String engine) implements RolloutDecision {}

    /**
     * Give it an order; nothing runs on it.
     *
     * @param engine the engine
     * @param order what to load or unload
     */
    record SendOrder(String engine, EngineOrder order) implements RolloutDecision {}

    /**
     * Let it take work again.
     *
     * @param engine the engine
     */
    record Resume(String engine) implements RolloutDecision {}

    /**
     * Change nothing yet.
     *
     * @param engine the engine
     * @param reason why it has to wait, for operators
     */
    record Hold(String engine, String reason) implements RolloutDecision {}
}
