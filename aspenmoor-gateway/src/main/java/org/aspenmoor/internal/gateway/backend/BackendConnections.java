package org.aspenmoor.internal.gateway.backend;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpRequest;
import java.util.HashMap;
import java.util.Map;
import java.util.function.ToIntFunction;
import org.aspenmoor.internal.gateway.protocol.BackendProtocol;
import org.aspenmoor.internal.serving.BackendServer;
import org.aspenmoor.internal.time.TimeSource;

/**
 * All connections to backend servers. Confined to the event loop.
 *
 * <p>A server accepts a fixed number of connections from all entries together and resets those beyond it, with the
 * requests on them. So each entry opens no more than its part; a request beyond it is tried elsewhere or refused unrun.
 */
public final class BackendConnections {
    private final BackendProtocol protocol;
    private final EventLoop eventLoop;
    private final TimeSource time;
    private final Map<String, ServerConnections> byServer = new HashMap<>();
    private final ToIntFunction<String> mostOpen;
    private final ServerProbes probes;
    private long openedBefore;

    /**
     * Makes the connections.
     *
     * @param mostOpen how many connections may be open to one server of a service
     */
    public BackendConnections(
            BackendProtocol protocol, EventLoop eventLoop, TimeSource time, ToIntFunction<String> mostOpen) {
        this.mostOpen = mostOpen;
        this.protocol = protocol;
        this.eventLoop = eventLoop;
        this.time = time;
        this.probes = new ServerProbes(eventLoop, ServerProbes.SECOND_LOOK);
    }

    /** Sends a request, of which it takes over the reference. */
    public Exchange send(BackendServer server, String requestId, FullHttpRequest request, ExchangeListener listener) {
        Exchange exchange = new Exchange(requestId, request, listener);
        connectionsTo(server).send(exchange, mostOpen.applyAsInt(server.service()));
        return exchange;
    }

    /** Tells the listener whether a server that broke a connection has ended. */
    public void probe(BackendServer server, ServerProbes.Listener listener) {
        probes.probe(server, listener);
    }

    /** Closes idle connections to a server that is gone. */
    public void forget(String server) {
        ServerConnections connections = byServer.remove(server);
        if (connections != null) {
            openedBefore += connections.opened();
            connections.retire();
        }
    }

    /** Closes idle connections that servers would soon close themselves. */
    public void closeStale() {
        byServer.values().forEach(ServerConnections::closeStale);
    }

    /** Returns how many connections were opened. */
    public long opened() {
        return openedBefore
                + byServer.values().stream()
                        .mapToLong(ServerConnections::opened)
                        .sum();
    }

    private ServerConnections connectionsTo(BackendServer server) {
        ServerConnections known = byServer.get(server.id());
        if (known != null && known.leadTo(server)) {
            return known;
        }
        forget(server.id());
        ServerConnections made = new ServerConnections(server, protocol, eventLoop, time);
        byServer.put(server.id(), made);
        return made;
    }
}
