package org.aspenmoor.internal.authority;

import org.aspenmoor.internal.engine.EngineOrder;
import org.aspenmoor.internal.engine.NumberedOrder;

/**
 * The last order of an engine, as its record says.
 *
 * @param id unique over all orders
 * @param fencingNumber the number that the engine is given with it
 * @param order what to do
 * @param state how far it is
 */
public record RecordedOrder(String id, long fencingNumber, EngineOrder order, RecordedOrderState state) {
    /** Returns the order as the engine is given it. */
    NumberedOrder numbered() {
        return new NumberedOrder(id, fencingNumber, order);
    }

    /** Returns the order in another state. */
    RecordedOrder in(RecordedOrderState newState) {
        return new RecordedOrder(id, fencingNumber, order, newState);
    }
}
