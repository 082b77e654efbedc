package org.aspenmoor.internal.gateway.backend;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.ToIntFunction;
import org.aspenmoor.internal.gateway.eventloop.LongRoundTask;
import org.aspenmoor.internal.gateway.partial.PartialMessages;
import org.aspenmoor.internal.gateway.protocol.BackendProtocol;
import org.aspenmoor.internal.serving.BackendServer;
import org.aspenmoor.internal.time.TimeSource;

/**
 * The connections of this entry to all backend servers. Confined to the event loop.
 *
 * <p>A server accepts a fixed number of connections from all entries together and resets any further connection,
 * together with the request on it. Each entry therefore opens no more than its share. A request that would need another
 * connection is not sent; it is tried on another server or refused without having run.
 */
public final class BackendConnections {
    private final BackendProtocol protocol;
    private final AnswerHeadInspector headInspector;
    private final EventLoop eventLoop;
    private final TimeSource time;
    private final Map<String, ServerConnectionPool> poolsByServer = new HashMap<>();
    private final ToIntFunction<String> maxOpenByService;
    private final ServerProbes probes;
    private final ServerObserver observer;
    private final LongRoundTask longRoundTask;
    private final PartialMessages partialMessages;
    private long openedByRemovedPools;

    /**
     * Creates an instance without open connections.
     *
     * @param maxOpenByService returns the maximum number of open connections to one server, given the name of its
     *     service
     * @param observer notified of what concerns the servers
     * @param longRoundTask called before each part of an answer is handled
     * @param partialMessages bounds the memory of incomplete heads
     */
    public BackendConnections(
            BackendProtocol protocol,
            EventLoop eventLoop,
            TimeSource time,
            ToIntFunction<String> maxOpenByService,
            ServerObserver observer,
            LongRoundTask longRoundTask,
            PartialMessages partialMessages) {
        this.observer = observer;
        this.longRoundTask = longRoundTask;
        this.partialMessages = partialMessages;
        this.maxOpenByService = maxOpenByService;
        this.protocol = protocol;
        this.headInspector = new AnswerHeadInspector(decidingHeaders(protocol));
        this.eventLoop = eventLoop;
        this.time = time;
        this.probes = new ServerProbes(eventLoop, ServerProbes.SECOND_ATTEMPT_DELAY);
    }

    /** Returns whether there is a connection over which a request can be sent now, or room for another one. */
    public boolean hasRoom(BackendServer server) {
        return poolFor(server).hasRoom(maxOpenByService.applyAsInt(server.service()));
    }

    /** Sends a request and takes ownership of its buffer. */
    public Exchange send(BackendServer server, String requestId, FullHttpRequest request, ExchangeListener listener) {
        Exchange exchange = new Exchange(requestId, request, listener, false);
        poolFor(server).send(exchange, maxOpenByService.applyAsInt(server.service()));
        return exchange;
    }

    /**
     * Sends a call that is not an attempt of a request, and takes ownership of its buffer. A call to a server that wants
     * none is not sent.
     *
     * @param timeLimit how long the answer may take; then the connection is reset, so that the call does not arrive later.
     *     If no time is left, the call is not sent
     */
    public void call(BackendServer server, FullHttpRequest call, Duration timeLimit, ExchangeListener listener) {
        Optional<String> refusal =
                timeLimit.isPositive() ? observer.callRefusal(server) : Optional.of("no time is left for the call");
        if (refusal.isPresent()) {
            call.release();
            eventLoop.execute(() -> listener.neverSent(refusal.get()));
            return;
        }
        observer.callSent(server);
        expireAfter(timeLimit, send(server, "", call, listener));
    }

    /**
     * Asks a server for its load, and takes ownership of the call's buffer. Of the answer, only the load and the
     * announcement of a drain count. One connection is left to requests, and the call is no demand of this entry.
     *
     * @param timeLimit how long the answer may take; then the connection is reset
     * @return whether the call is sent; it is not if the server wants no calls
     */
    public boolean callForLoad(
            BackendServer server, FullHttpRequest call, Duration timeLimit, ExchangeListener listener) {
        if (observer.callRefusal(server).isPresent()) {
            call.release();
            return false;
        }
        Exchange exchange = new Exchange("", call, listener, true);
        poolFor(server).send(exchange, Math.max(1, maxOpenByService.applyAsInt(server.service()) - 1));
        expireAfter(timeLimit, exchange);
        return true;
    }

    /** Checks whether a server whose connection broke has terminated, and notifies the listener of the result. */
    public void probe(BackendServer server, ServerProbes.Listener listener) {
        probes.probe(server, listener);
    }

    /** Closes the idle connections to a server that has been removed; those in use are closed after their request. */
    public void remove(String serverId) {
        ServerConnectionPool pool = poolsByServer.remove(serverId);
        if (pool != null) {
            openedByRemovedPools += pool.openedTotal();
            pool.retire();
        }
    }

    /** Closes idle connections that have almost reached the idle timeout of their server. */
    public void closeStale() {
        poolsByServer.values().forEach(ServerConnectionPool::closeStale);
    }

    /** Returns the number of connections opened since the start of this process. */
    public long openedTotal() {
        return openedByRemovedPools
                + poolsByServer.values().stream()
                        .mapToLong(ServerConnectionPool::openedTotal)
                        .sum();
    }

    /** Returns the headers that delimit an answer, and those of the protocol. */
    private static List<String> decidingHeaders(BackendProtocol protocol) {
        List<String> names = new ArrayList<>(protocol.decidingHeaders());
        names.add(HttpHeaderNames.CONTENT_LENGTH.toString());
        names.add(HttpHeaderNames.TRANSFER_ENCODING.toString());
        return names;
    }

    private void expireAfter(Duration timeLimit, Exchange exchange) {
        eventLoop.schedule(
                () -> exchange.expire("no complete answer within " + timeLimit.toMillis() + " ms"),
                timeLimit.toNanos(),
                TimeUnit.NANOSECONDS);
    }

    private ServerConnectionPool poolFor(BackendServer server) {
        ServerConnectionPool existing = poolsByServer.get(server.id());
        if (existing != null && existing.connectsTo(server)) {
            return existing;
        }
        remove(server.id());
        ServerConnectionPool created = new ServerConnectionPool(
                server, protocol, headInspector, eventLoop, time, observer, longRoundTask, partialMessages);
        poolsByServer.put(server.id(), created);
        return created;
    }
}
