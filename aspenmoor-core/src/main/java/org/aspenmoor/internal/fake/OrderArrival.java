package org.aspenmoor.internal.fake;

import org.aspenmoor.internal.engine.FencedOrder;

/**
 * An order that arrived at an engine.
 *
 * @param engine the name of the engine
 * @param order the order
 * @param started whether the engine started to execute it
 * @param engineBusy whether another order was being executed at the time
 * @param runningStreams the number of streams that were running at the time
 */
public record OrderArrival(String engine, FencedOrder order, boolean started, boolean engineBusy, int runningStreams) {}
