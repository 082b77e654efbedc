package org.aspenmoor.internal.serving.roles;

import org.aspenmoor.internal.engine.EngineRole;
import org.aspenmoor.internal.serving.BackendServer;

/**
 * One engine that should change its role.
 *
 * @param server the engine
 * @param role its new role
 */
public record RoleMove(BackendServer server, EngineRole role) {}
