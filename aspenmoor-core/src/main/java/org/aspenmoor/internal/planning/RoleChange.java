package org.aspenmoor.internal.planning;

import org.aspenmoor.internal.engine.EngineRole;

/**
 * The role change of one engine.
 *
 * @param engine the name of the engine
 * @param from the present role
 * @param to the new role
 */
public record RoleChange(String engine, EngineRole from, EngineRole to) {}
