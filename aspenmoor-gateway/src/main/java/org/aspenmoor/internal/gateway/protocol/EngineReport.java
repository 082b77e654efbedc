package org.aspenmoor.internal.gateway.protocol;

import org.aspenmoor.internal.engine.EngineRole;

/**
 * What an engine says of itself when asked.
 *
 * @param role its role
 * @param ordersTaken how many orders it has accepted since it started
 * @param changing whether it is carrying one out
 */
public record EngineReport(EngineRole role, long ordersTaken, boolean changing) {}
