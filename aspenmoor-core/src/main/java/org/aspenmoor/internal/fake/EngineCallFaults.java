package org.aspenmoor.internal.fake;

import org.aspenmoor.internal.engine.FencedOrder;

/** Injects faults into the calls of one agent to its engine. */
public interface EngineCallFaults {
    /** Injects no faults. */
    EngineCallFaults NONE = new EngineCallFaults() {};

    /** Returns the fault of a status query. */
    default EngineFault onStatus() {
        return EngineFault.NONE;
    }

    /** Returns the fault of an order. */
    default EngineFault onOrder(FencedOrder order) {
        return EngineFault.NONE;
    }

    /** Called after the agent has decided to send an order and before the order is sent. */
    default void beforeSending(FencedOrder order) {}
}
