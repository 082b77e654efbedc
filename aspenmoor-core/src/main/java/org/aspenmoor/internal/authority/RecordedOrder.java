package org.aspenmoor.internal.authority;

import org.aspenmoor.internal.engine.EngineOrder;
import org.aspenmoor.internal.engine.FencedOrder;

/**
 * An order as stored in the record of its engine.
 *
 * @param id unique among all orders
 * @param fencingNumber the fencing number sent with the order
 * @param order the order
 * @param state the state of the order
 */
public record RecordedOrder(String id, long fencingNumber, EngineOrder order, RecordedOrderState state) {
    /** Returns the order in the form sent to the engine. */
    FencedOrder toFencedOrder() {
        return new FencedOrder(id, fencingNumber, order);
    }

    /** Returns the order with another state. */
    RecordedOrder withState(RecordedOrderState newState) {
        return new RecordedOrder(id, fencingNumber, order, newState);
    }
}
