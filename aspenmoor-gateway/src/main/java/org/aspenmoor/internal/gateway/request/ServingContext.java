package org.aspenmoor.internal.gateway.request;

import io.netty.channel.EventLoop;
import java.util.Optional;
import org.aspenmoor.internal.gateway.backend.BackendConnections;
import org.aspenmoor.internal.gateway.caller.AnswerBuffers;
import org.aspenmoor.internal.gateway.protocol.BackendProtocol;
import org.aspenmoor.internal.gateway.quarantine.FatalRequestTracker;
import org.aspenmoor.internal.gateway.usage.UsageTracker;
import org.aspenmoor.internal.serving.origin.StreamOriginTracker;

/**
 * The objects that all requests share.
 *
 * @param state the configuration, servers and budgets known to this process
 * @param connections the connections to backend servers
 * @param protocol the protocol of the backend servers
 * @param eventLoop the thread on which all requests are handled
 * @param metrics the request metrics
 * @param waitQueues the requests that wait for capacity at an engine
 * @param serverListWait the requests that wait until the list of servers is young enough
 * @param usage counts the requests of organisations; empty if usage is not reported
 * @param origins which software versions began streams
 * @param fatalRequests the requests that terminate the servers that run them
 * @param buffers bounds what is buffered for callers and servers
 */
public record ServingContext(
        ServingState state,
        BackendConnections connections,
        BackendProtocol protocol,
        EventLoop eventLoop,
        GatewayMetrics metrics,
        WaitQueues waitQueues,
        ServerListWait serverListWait,
        Optional<UsageTracker> usage,
        StreamOriginTracker origins,
        FatalRequestTracker fatalRequests,
        AnswerBuffers buffers) {}
