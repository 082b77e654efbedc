package org.aspenmoor.internal.serving;

/**
 * The state of an engine as used to choose engine roles.
 *
 * @param server the engine
 * @param load its load
 * @param slowdown how many times longer it takes than the other engines with its role
 * @param changingRole whether it has been ordered to change its role
 * @param restricted whether it states a limit below an even part of the requests
 */
public record EngineState(
        BackendServer server, EngineLoad load, double slowdown, boolean changingRole, boolean restricted) {}
