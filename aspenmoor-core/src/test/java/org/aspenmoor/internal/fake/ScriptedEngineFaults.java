package org.aspenmoor.internal.fake;

import java.util.ArrayDeque;
import java.util.Deque;
import org.aspenmoor.internal.engine.NumberedOrder;

/** Engine faults in the order in which a test wants them. */
public final class ScriptedEngineFaults implements EngineCallFaults {
    private final Deque<EngineFault> onOrders = new ArrayDeque<>();

    /** Makes the next order without a fault yet end in this one. */
    public void nextOrder(EngineFault fault) {
        onOrders.add(fault);
    }

    @Override
    public EngineFault onOrder(NumberedOrder order) {
        return onOrders.isEmpty() ? EngineFault.NONE : onOrders.remove();
    }
}
