package org.aspenmoor.internal.gateway.protocol;

import org.aspenmoor.internal.engine.EngineRole;

/**
 * An order to an engine to change its role.
 *
 * @param server the identity that the engine must have to take it
 * @param role the new role
 * @param holder the process that gives it
 * @param number the number under which the holder may give orders
 * @param ordersTaken how many orders the engine must have accepted before; so one that arrives late changes nothing
 */
public record RoleOrder(String server, EngineRole role, String holder, long number, long ordersTaken) {}
