package org.aspenmoor.internal.fake;

import java.util.ArrayDeque;
import java.util.Deque;
import org.aspenmoor.internal.engine.FencedOrder;

/** Injects engine faults in the order given by a test. */
public final class ScriptedEngineFaults implements EngineCallFaults {
    private final Deque<EngineFault> orderFaults = new ArrayDeque<>();

    /** Adds a fault for the next order that has none yet. */
    public void addOrderFault(EngineFault fault) {
        orderFaults.add(fault);
    }

    @Override
    public EngineFault onOrder(FencedOrder order) {
        return orderFaults.isEmpty() ? EngineFault.NONE : orderFaults.remove();
    }
}
