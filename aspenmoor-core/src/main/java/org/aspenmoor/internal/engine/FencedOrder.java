package org.aspenmoor.internal.engine;

/**
 * An order with an ID and a fencing number, by which an engine can refuse outdated orders.
 *
 * @param orderId unique; the engine reports the ID of its last order, which resolves the outcome after a lost response
 * @param fencingNumber higher than that of every earlier order to the engine; the upper bits hold the term of the role
 *     plan
 * @param order the order
 */
public record FencedOrder(String orderId, long fencingNumber, EngineOrder order) {}
