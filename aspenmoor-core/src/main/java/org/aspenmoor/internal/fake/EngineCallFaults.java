package org.aspenmoor.internal.fake;

import org.aspenmoor.internal.engine.NumberedOrder;

/** Decides what goes wrong with the calls of one agent to its engine. */
public interface EngineCallFaults {
    /** Nothing goes wrong. */
    EngineCallFaults NONE = new EngineCallFaults() {};

    /** Returns the fault of a question for the status. */
    default EngineFault onStatus() {
        return EngineFault.NONE;
    }

    /** Returns the fault of an order. */
    default EngineFault onOrder(NumberedOrder order) {
        return EngineFault.NONE;
    }

    /** Called after the agent decided to send an order and before its bytes leave. */
    default void beforeSending(NumberedOrder order) {}
}
