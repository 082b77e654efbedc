package org.aspenmoor.internal.gateway.standin;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A caller with one connection, which writes and reads plain text. */
public final class TestCaller implements AutoCloseable {
    private static final int PATIENCE_MILLISECONDS = 20_000;

    private final Socket socket;
    private final HttpReader reader;

    public TestCaller(int port) throws IOException {
        this.socket = new Socket(InetAddress.getLoopbackAddress(), port);
        this.socket.setSoTimeout(PATIENCE_MILLISECONDS);
        this.reader = new HttpReader(socket.getInputStream());
    }

    public void send(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
        socket.getOutputStream().flush();
    }

    /** Reads a whole answer; its first line is the status line. */
    public ReceivedRequest answer() throws IOException {
        return reader.readMessage();
    }

    public String line() throws IOException {
        return reader.readLine();
    }

    /** Returns whether the other side has closed the connection. */
    public boolean closed() throws IOException {
        try {
            return socket.getInputStream().read() < 0;
        } catch (IOException reset) {
            return true;
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
