package org.aspenmoor.internal.gateway.protocol;

import org.aspenmoor.internal.engine.EngineRole;

/**
 * State of an engine, as the engine reports it in answer to a query.
 *
 * @param role the engine's current role
 * @param acceptedOrders the number of orders that the engine has accepted since it started
 * @param executingOrder whether the engine is executing an order
 */
public record EngineReport(EngineRole role, long acceptedOrders, boolean executingOrder) {}
