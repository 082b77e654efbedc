package org.aspenmoor.internal.engine;

import org.aspenmoor.AspenmoorException;

/** An engine refused an order; the order had no effect. */
public final class EngineRefusedOrderException extends AspenmoorException {
    private static final long serialVersionUID = 1L;

    public EngineRefusedOrderException(String problem, String place, String remedy) {
        super(problem, place, remedy);
    }
}
