package org.aspenmoor.internal.gateway.standin;

import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** A backend server that answers each request with the bytes that its script returns, valid HTTP or not. */
public final class ScriptedBackend implements AutoCloseable {
    private static final long TIMEOUT_SECONDS = 20;

    private final ServerSocket listener;
    private final Script script;
    private final List<ReceivedRequest> received = new CopyOnWriteArrayList<>();
    private final BlockingQueue<ReceivedRequest> pendingRequests = new LinkedBlockingQueue<>();
    private final BlockingQueue<String> closeEvents = new LinkedBlockingQueue<>();
    private final BlockingQueue<DelayedPart> writtenParts = new LinkedBlockingQueue<>();
    private final List<Socket> connections = new CopyOnWriteArrayList<>();
    private volatile boolean crashed;

    public ScriptedBackend(Script script) throws IOException {
        this.listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        this.script = script;
        Thread.ofPlatform().daemon().name("scripted-backend").start(this::accept);
    }

    public int port() {
        return listener.getLocalPort();
    }

    public List<ReceivedRequest> received() {
        return received;
    }

    /** Waits for the next request and returns it. */
    public ReceivedRequest awaitRequest() throws InterruptedException {
        return requirePresent(pendingRequests.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS));
    }

    /** Waits for the request with the given identity and returns it; requests that arrive before it are passed over. */
    public ReceivedRequest awaitRequest(String requestId) throws InterruptedException {
        ReceivedRequest next = awaitRequest();
        while (!next.header(TestProtocols.REQUEST_ID).orElse("").equals(requestId)) {
            next = awaitRequest();
        }
        return next;
    }

    /** Returns how many requests with the given identity have been received. */
    public long count(String requestId) {
        return received.stream()
                .filter(request ->
                        request.header(TestProtocols.REQUEST_ID).orElse("").equals(requestId))
                .count();
    }

    /** Waits until a delayed part of a reply has been written. */
    public void awaitDelayedPart() throws InterruptedException {
        requirePresent(writtenParts.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS));
    }

    /** Waits until a client closes its connection. */
    public void awaitClose() throws InterruptedException {
        requirePresent(closeEvents.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS));
    }

    /** Returns whether a request has made this server crash. */
    public boolean crashed() {
        return crashed;
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }

    /** Stops accepting connections and closes all open ones, as a process that crashes does. */
    private void crash() throws IOException {
        int port = port();
        listener.close();
        while (acceptsConnections(port)) {
            Thread.onSpinWait();
        }
        crashed = true;
        for (Socket connection : connections) {
            connection.close();
        }
    }

    /** A port that is closed while a thread waits in accept stays open until that thread has been woken. */
    private static boolean acceptsConnections(int port) {
        try (Socket probe = new Socket(InetAddress.getLoopbackAddress(), port)) {
            return probe.isConnected();
        } catch (IOException refused) {
            return false;
        }
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = listener.accept();
                connections.add(socket);
                Thread.ofPlatform().daemon().name("scripted-connection").start(() -> serve(socket));
            }
        } catch (IOException listenerClosed) {
            // The test is over.
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            HttpReader reader = new HttpReader(socket.getInputStream());
            OutputStream output = socket.getOutputStream();
            while (true) {
                ReceivedRequest request = reader.readMessage();
                received.add(request);
                pendingRequests.add(request);
                Reply reply = script.replyTo(request);
                if (reply.crashes()) {
                    crash();
                    return;
                }
                output.write(reply.bytes().getBytes(StandardCharsets.UTF_8));
                output.flush();
                if (reply.delayedPart().isPresent()) {
                    write(reply.delayedPart().get(), output);
                }
                if (reply.closes()) {
                    return;
                }
            }
        } catch (IOException connectionClosed) {
            closeEvents.add("closed");
        }
    }

    private void write(DelayedPart part, OutputStream output) throws IOException {
        try {
            part.trigger().await();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            return;
        }
        output.write(part.bytes().getBytes(StandardCharsets.UTF_8));
        output.flush();
        writtenParts.add(part);
    }

    private static <T> T requirePresent(T value) {
        if (value == null) {
            throw new UncheckedIOException(
                    new IOException("The expected event did not happen within " + TIMEOUT_SECONDS + " s."));
        }
        return value;
    }

    /** Determines how a backend server replies to a request. */
    @FunctionalInterface
    public interface Script {
        Reply replyTo(ReceivedRequest request);
    }

    /**
     * A reply to a request.
     *
     * @param bytes the bytes that are written immediately
     * @param delayedPart the part that is written later, if any
     * @param closes whether the connection is closed after the reply
     * @param crashes whether the server crashes instead of replying
     */
    public record Reply(String bytes, Optional<DelayedPart> delayedPart, boolean closes, boolean crashes) {
        public static Reply of(String bytes) {
            return new Reply(bytes, Optional.empty(), false, false);
        }

        public static Reply withDelayedPart(String bytes, DelayedPart delayedPart) {
            return new Reply(bytes, Optional.of(delayedPart), false, false);
        }

        public static Reply thenClose(String bytes) {
            return new Reply(bytes, Optional.empty(), true, false);
        }

        public static Reply crash() {
            return new Reply("", Optional.empty(), true, true);
        }
    }

    /**
     * The delayed part of a reply.
     *
     * @param trigger the latch that is opened to have the part written
     * @param bytes the bytes of the part
     */
    public record DelayedPart(CountDownLatch trigger, String bytes) {}
}
