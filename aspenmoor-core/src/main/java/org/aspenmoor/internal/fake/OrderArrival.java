package org.aspenmoor.internal.fake;

import org.aspenmoor.internal.engine.NumberedOrder;

/**
 * An order that reached an engine.
 *
 * @param engine the engine's name
 * @param order the order
 * @param begun whether the engine began it
 * @param whileBusy whether another order was being carried out
 * @param streamsCut how many streams ran
 */
public record OrderArrival(String engine, NumberedOrder order, boolean begun, boolean whileBusy, int streamsCut) {}
