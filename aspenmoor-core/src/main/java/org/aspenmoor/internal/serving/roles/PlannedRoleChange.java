package org.aspenmoor.internal.serving.roles;

import org.aspenmoor.internal.engine.EngineRole;
import org.aspenmoor.internal.serving.BackendServer;

/**
 * A role change that one engine should make.
 *
 * @param server the engine
 * @param role its new role
 */
public record PlannedRoleChange(BackendServer server, EngineRole role) {}
