package org.aspenmoor.internal.gateway.standin;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.CompletableFuture;

/** A backend server that reads nothing until it is told to, as if the link to it were too narrow. */
public final class UnreadBackend implements AutoCloseable {
    /** Far smaller than the requests sent to this server, so that most of their bytes stay with the sender. */
    private static final int RECEIVE_BUFFER_BYTES = 4096;

    private static final int READ_BYTES = 65_536;

    private final ServerSocket listener;
    private final CompletableFuture<Socket> accepted = new CompletableFuture<>();

    public UnreadBackend() throws IOException {
        listener = new ServerSocket();
        listener.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        Thread.ofPlatform().daemon().name("unread-backend").start(this::accept);
    }

    public int port() {
        return listener.getLocalPort();
    }

    /** Waits until a client has connected. */
    public void awaitConnection() {
        accepted.join();
    }

    /** Reads all that arrives; returns whether the connection was reset instead of ending after all bytes. */
    public boolean readsUntilReset() throws IOException {
        InputStream input = accepted.join().getInputStream();
        byte[] buffer = new byte[READ_BYTES];
        try {
            while (input.read(buffer) >= 0) {
                // The bytes do not matter.
            }
            return false;
        } catch (IOException reset) {
            return true;
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
        if (accepted.isDone()) {
            accepted.join().close();
        }
    }

    private void accept() {
        try {
            accepted.complete(listener.accept());
        } catch (IOException listenerClosed) {
            accepted.completeExceptionally(listenerClosed);
        }
    }
}
