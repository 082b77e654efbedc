package org.aspenmoor.internal.store.client;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;

/** An HTTP server that responds to each call with the next step of a script and records the calls. */
final class ScriptedStoreServer implements AutoCloseable {
    private final HttpServer server;
    private final ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor();
    private final BlockingQueue<Step> script = new LinkedBlockingQueue<>();
    private final List<String> receivedCalls = new CopyOnWriteArrayList<>();
    private final CountDownLatch closing = new CountDownLatch(1);

    sealed interface Step {
        record Respond(int status, String body) implements Step {}

        record Stream(List<String> lines, boolean ends) implements Step {}

        record CloseConnection() implements Step {}

        record NoResponse() implements Step {}
    }

    ScriptedStoreServer() throws IOException {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        server.setExecutor(threads);
        server.createContext("/", this::handle);
        server.start();
    }

    ScriptedStoreServer then(Step... steps) {
        script.addAll(List.of(steps));
        return this;
    }

    ScriptedStoreServer thenRespond(int status, String body) {
        return then(new Step.Respond(status, body));
    }

    URI address() {
        return URI.create("http://127.0.0.1:" + server.getAddress().getPort());
    }

    List<String> calls() {
        return receivedCalls;
    }

    @Override
    public void close() {
        closing.countDown();
        server.stop(0);
        threads.shutdownNow();
    }

    private void handle(HttpExchange exchange) throws IOException {
        try (exchange) {
            exchange.getRequestBody().readAllBytes();
            receivedCalls.add(exchange.getRequestMethod() + " " + exchange.getRequestURI());
            perform(exchange, script.take());
        } catch (InterruptedException stopping) {
            Thread.currentThread().interrupt();
        }
    }

    private void perform(HttpExchange exchange, Step step) throws IOException, InterruptedException {
        switch (step) {
            case Step.Respond response -> {
                byte[] bytes = response.body().getBytes(StandardCharsets.UTF_8);
                exchange.sendResponseHeaders(response.status(), bytes.length == 0 ? -1 : bytes.length);
                exchange.getResponseBody().write(bytes);
            }
            case Step.Stream stream -> {
                exchange.sendResponseHeaders(200, 0);
                try (OutputStream output = exchange.getResponseBody()) {
                    output.flush();
                    for (String line : stream.lines()) {
                        output.write((line + "\n").getBytes(StandardCharsets.UTF_8));
                        output.flush();
                    }
                    if (!stream.ends()) {
                        closing.await();
                    }
                }
            }
            case Step.CloseConnection closeConnection -> exchange.close();
            case Step.NoResponse noResponse -> closing.await();
        }
    }
}
