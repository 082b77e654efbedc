package org.aspenmoor.internal.serving;

/**
 * What this entry believes of one backend server, for operators.
 *
 * @param server the server as it registered itself
 * @param waitSeconds how long a new request probably waits there
 * @param load what runs there
 * @param ownRequests requests there of this entry
 * @param slowness how many times longer than expected it takes
 * @param failureShare part of its last answers that were failures
 * @param changing whether it has been told to take another role
 * @param paused whether it is left alone after failures
 * @param cachedTokens prompt tokens that it probably keeps
 */
public record ServerSummary(
        BackendServer server,
        double waitSeconds,
        EngineLoad load,
        int ownRequests,
        double slowdown,
        double failureFraction,
        boolean changingRole,
        boolean paused,
        int cachedTokens) {}
