package org.aspenmoor.internal.serving;

import org.aspenmoor.internal.engine.EngineRole;

/**
 * An accepted order to change an engine's role that has not been carried out yet.
 *
 * @param server the engine's id
 * @param role its new role
 */
public record RoleChange(String server, EngineRole role) {}
