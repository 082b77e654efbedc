package org.aspenmoor.internal.standins.http;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.jboss.logging.Logger;

/** An HTTP server on the loopback address that runs each call on a virtual thread. */
public final class StandinServer implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(StandinServer.class);
    private static final int BACKLOG = 256;
    private static final int INTERNAL_ERROR = 500;

    private final HttpServer server;
    private final ExecutorService threads;
    private final Handler handler;

    public StandinServer(int port, Handler handler) throws IOException {
        // Without TCP_NODELAY, small stream chunks wait for the reader's delayed acknowledgement. With the default
        // limit of 200 idle connections, further ones are closed while idle, which callers see as lost answers.
        System.setProperty("sun.net.httpserver.nodelay", "true");
        System.setProperty("sun.net.httpserver.maxIdleConnections", "10000");
        System.setProperty("sun.net.httpserver.idleInterval", "600");
        this.handler = handler;
        this.threads = Executors.newVirtualThreadPerTaskExecutor();
        this.server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), BACKLOG);
        server.setExecutor(threads);
        server.createContext("/", this::handleExchange);
    }

    /** Starts to accept calls. */
    public void start() {
        server.start();
    }

    /** Returns the port that the server listens on. */
    public int port() {
        return server.getAddress().getPort();
    }

    /** Returns the base address of the server. */
    public URI address() {
        return URI.create("http://127.0.0.1:" + port());
    }

    @Override
    public void close() {
        server.stop(0);
        threads.shutdownNow();
    }

    private void handleExchange(HttpExchange exchange) throws IOException {
        Call call = new Call(exchange);
        try {
            handler.handle(call);
        } catch (RuntimeException failure) {
            LOG.errorf(
                    failure, "standin: handling %s %s failed; answering with status 500", call.method(), call.path());
            tryRespondError(call);
        }
        // Closing the exchange would end a stream regularly; an exception makes the server close the connection.
        if (call.isDropped()) {
            throw new IOException("connection dropped by an injected fault");
        }
        exchange.close();
    }

    private static void tryRespondError(Call call) {
        try {
            call.respondError(INTERNAL_ERROR, "The stand-in failed; see its log for the cause.");
        } catch (IOException responseFailed) {
            LOG.debugf(
                    "standin: cannot send status 500 for %s; the response has started or the connection is closed",
                    call.path());
        }
    }
}
