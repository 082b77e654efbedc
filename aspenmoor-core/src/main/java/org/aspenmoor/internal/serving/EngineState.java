package org.aspenmoor.internal.serving;

/**
 * One engine as the choice of its role sees it.
 *
 * @param server the engine
 * @param load what runs there
 * @param slowness how many times longer than the others with its role it takes
 * @param changing whether it has been told to change its role
 */
public record EngineState(BackendServer server, EngineLoad load, double slowdown, boolean changingRole) {}
