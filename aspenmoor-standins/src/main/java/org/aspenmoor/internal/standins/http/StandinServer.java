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

/** An HTTP server on the loopback address with a virtual thread for each call. */
public final class StandinServer implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(StandinServer.class);
    private static final int BACKLOG = 256;
    private static final int INTERNAL_ERROR = 500;

    private final HttpServer server;
    private final ExecutorService threads;
    private final Handler handler;

    public StandinServer(int port, Handler handler) throws IOException {
        // Without these, small pieces of a stream wait for the reader's delayed acknowledgement, and connections of
        // more than 200 callers are closed while idle, which callers see as lost answers.
        System.setProperty("sun.net.httpserver.nodelay", "true");
        System.setProperty("sun.net.httpserver.maxIdleConnections", "10000");
        System.setProperty("sun.net.httpserver.idleInterval", "600");
        this.handler = handler;
        this.threads = Executors.newVirtualThreadPerTaskExecutor();
        this.server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), BACKLOG);
        server.setExecutor(threads);
        server.createContext("/", this::handleExchange);
    }

    /** Starts to take calls. */
    public void start() {
        server.start();
    }

    /** Returns the port it listens on. */
    public int port() {
        return server.getAddress().getPort();
    }

    /** Returns its address. */
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
            LOG.errorf(failure, "standin: %s %s failed.", call.method(), call.path());
            tryRespondError(call);
        }
        // Closing the exchange would end a stream in good form. The server breaks the connection of a call that fails.
        if (call.isDropped()) {
            throw new IOException("dropped on purpose");
        }
        exchange.close();
    }

    private static void tryRespondError(Call call) {
        try {
            call.respondError(INTERNAL_ERROR, "The stand-in failed; its log says why.");
        } catch (IOException responseFailed) {
            LOG.debugf("standin: %s could not be refused.", call.path());
        }
    }
}
