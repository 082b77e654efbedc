package org.aspenmoor.internal.gateway.request;

import io.netty.channel.EventLoop;
import org.aspenmoor.internal.gateway.backend.BackendConnections;
import org.aspenmoor.internal.gateway.protocol.BackendProtocol;
import org.aspenmoor.internal.gateway.quarantine.FatalRequestTracker;

/**
 * What every request needs to do its work.
 *
 * @param state what the process knows
 * @param connections the way to backend servers
 * @param protocol what backend servers understand
 * @param eventLoop the thread that all requests live on
 * @param metrics the counters
 * @param lines the requests that wait for room at an engine
 * @param fatalRequests the requests that end servers
 */
public record RequestTools(
        ServingState state,
        BackendConnections connections,
        BackendProtocol protocol,
        EventLoop eventLoop,
        GatewayMetrics metrics,
        WaitingRequests lines,
        FatalRequestTracker fatalRequests) {}
