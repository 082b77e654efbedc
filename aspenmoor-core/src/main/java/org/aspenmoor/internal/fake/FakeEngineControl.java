package org.aspenmoor.internal.fake;

import org.aspenmoor.internal.engine.EngineControl;
import org.aspenmoor.internal.engine.EngineRefusedOrderException;
import org.aspenmoor.internal.engine.EngineStatus;
import org.aspenmoor.internal.engine.EngineUnreachableException;
import org.aspenmoor.internal.engine.FencedOrder;

/** The control interface of a {@link FakeEngine} for one agent, with injected faults. */
final class FakeEngineControl implements EngineControl {
    private final FakeEngine engine;
    private final EngineCallFaults faults;

    FakeEngineControl(FakeEngine engine, EngineCallFaults faults) {
        this.engine = engine;
        this.faults = faults;
    }

    @Override
    public EngineStatus status() throws EngineUnreachableException {
        if (faults.onStatus() != EngineFault.NONE) {
            throw unreachable();
        }
        return engine.status();
    }

    @Override
    public void order(FencedOrder order) throws EngineRefusedOrderException, EngineUnreachableException {
        faults.beforeSending(order);
        switch (faults.onOrder(order)) {
            case NONE -> engine.order(order);
            case CALL_LOST -> throw unreachable();
            case ANSWER_LOST -> {
                engine.order(order);
                throw unreachable();
            }
            case ARRIVES_LATE -> {
                engine.addInTransit(order);
                throw unreachable();
            }
        }
    }

    private EngineUnreachableException unreachable() {
        return new EngineUnreachableException("The engine does not respond.", engine.name(), "Query its status.");
    }
}
