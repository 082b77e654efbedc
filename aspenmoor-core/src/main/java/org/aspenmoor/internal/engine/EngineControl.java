package org.aspenmoor.internal.engine;

/** The control side of one engine. Calls block; one thread makes all of them for one engine. */
public interface EngineControl {
    /** Asks the engine about itself. */
    EngineStatus status() throws EngineUnreachableException;

    /**
     * Gives an order; returns once the engine has begun it.
     *
     * @throws EngineRefusedOrderException where the engine has seen a higher fencing number or is busy; it did nothing
     * @throws EngineUnreachableException where no answer came; the order may have been begun
     */
    void order(NumberedOrder order) throws EngineRefusedOrderException, EngineUnreachableException;
}
