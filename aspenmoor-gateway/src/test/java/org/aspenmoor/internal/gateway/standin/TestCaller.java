package org.aspenmoor.internal.gateway.standin;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A caller that writes and reads HTTP messages as text on one connection. */
public final class TestCaller implements AutoCloseable {
    private static final int READ_TIMEOUT_MILLISECONDS = 20_000;

    private final Socket socket;
    private final HttpReader reader;

    public TestCaller(int port) throws IOException {
        this.socket = new Socket(InetAddress.getLoopbackAddress(), port);
        this.socket.setSoTimeout(READ_TIMEOUT_MILLISECONDS);
        this.reader = new HttpReader(socket.getInputStream());
    }

    public void send(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
        socket.getOutputStream().flush();
    }

    /** Reads a complete answer; its first line is the status line. */
    public ReceivedRequest readAnswer() throws IOException {
        return reader.readMessage();
    }

    /** Reads the head of an answer; its body follows. */
    public ReceivedRequest readHead() throws IOException {
        return new ReceivedRequest(reader.readLine(), reader.readHeaders(), "");
    }

    /** Reads the body of the answer with the given head. */
    public String readBody(ReceivedRequest head) throws IOException {
        return reader.readBody(head.headers());
    }

    public String readLine() throws IOException {
        return reader.readLine();
    }

    /** Reads one byte and returns whether the connection was closed or reset instead. */
    public boolean closedByServer() throws IOException {
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
