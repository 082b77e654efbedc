package org.aspenmoor.internal.serving;

import org.aspenmoor.internal.engine.EngineRole;

/**
 * An order to an engine that has been accepted and not yet carried out.
 *
 * @param server the engine's identity
 * @param role the role that it will have
 */
public record RoleChange(String server, EngineRole role) {}
