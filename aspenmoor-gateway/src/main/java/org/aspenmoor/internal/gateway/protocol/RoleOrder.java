package org.aspenmoor.internal.gateway.protocol;

import org.aspenmoor.internal.engine.EngineRole;

/**
 * An order to an engine to change its role.
 *
 * @param serverId the identity of the intended engine; an engine with another identity rejects the order
 * @param role the role to change to
 * @param leaseHolder the process that holds the order lease and sends the order
 * @param fencingNumber the fencing number of the holder's lease
 * @param expectedAcceptedOrders the number of orders that the engine must have accepted before; an order that arrives
 *     late does not meet this precondition and has no effect
 */
public record RoleOrder(
        String serverId, EngineRole role, String leaseHolder, long fencingNumber, long expectedAcceptedOrders) {}
