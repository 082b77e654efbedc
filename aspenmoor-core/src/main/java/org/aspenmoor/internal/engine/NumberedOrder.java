package org.aspenmoor.internal.engine;

/**
 * An order with what makes it refusable.
 *
 * @param orderId unique; the engine remembers the last one, so a lost answer is settled by asking
 * @param fencingNumber the term of the role plan that the order comes from
 * @param order what to do
 */
public record NumberedOrder(String orderId, long fencingNumber, EngineOrder order) {}
