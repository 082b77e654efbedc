package org.aspenmoor.internal.planning;

import org.aspenmoor.internal.engine.EngineRole;

/**
 * One engine's move.
 *
 * @param engine the engine
 * @param from its role now
 * @param to its role to be
 */
public record RoleChange(String engine, EngineRole from, EngineRole to) {}
