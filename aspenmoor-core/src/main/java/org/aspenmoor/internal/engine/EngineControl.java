package org.aspenmoor.internal.engine;

/** The control interface of one engine. Calls block; all calls for one engine are made by the same thread. */
public interface EngineControl {
    /** Queries the status of the engine. */
    EngineStatus status() throws EngineUnreachableException;

    /**
     * Sends an order; returns once the engine has started to execute it.
     *
     * @throws EngineRefusedOrderException if the engine has received a higher fencing number or is busy; the order had
     *     no effect
     * @throws EngineUnreachableException if no response was received; the engine may have started to execute the order
     */
    void order(FencedOrder order) throws EngineRefusedOrderException, EngineUnreachableException;
}
