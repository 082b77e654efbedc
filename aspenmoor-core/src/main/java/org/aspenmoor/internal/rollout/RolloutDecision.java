package org.aspenmoor.internal.rollout;

import org.aspenmoor.internal.engine.EngineOrder;

/** The next rollout step of one engine. */
public sealed interface RolloutDecision {
    /** Returns the name of the engine. */
    String engine();

    /**
     * Send no new requests to the engine; its running streams complete on it.
     *
     * @param engine the name of the engine
     */
    record Drain(String engine) implements RolloutDecision {}

    /**
     * Send an order to the engine, on which no stream runs.
     *
     * @param engine the name of the engine
     * @param order what to load or unload
     */
    record SendOrder(String engine, EngineOrder order) implements RolloutDecision {}

    /**
     * Let the engine accept requests again.
     *
     * @param engine the name of the engine
     */
    record Resume(String engine) implements RolloutDecision {}

    /**
     * Leave the engine as it is for now.
     *
     * @param engine the name of the engine
     * @param reason why the engine has to wait, for operators
     */
    record Hold(String engine, String reason) implements RolloutDecision {}
}
