package org.aspenmoor.internal.gateway.standin;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;

/** A backend server whose test accepts each connection itself, and reads, writes and ends it step by step. */
public final class ManualBackend implements AutoCloseable {
    /** Far smaller than long requests, so that most of their bytes stay with the sender. */
    private static final int RECEIVE_BUFFER_BYTES = 4096;

    private static final int READ_BYTES = 65_536;
    private static final int TIMEOUT_MILLISECONDS = 60_000;
    private static final String HEAD_END = "\r\n\r\n";

    private final ServerSocket listener;

    public ManualBackend() throws IOException {
        listener = new ServerSocket();
        listener.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        listener.setSoTimeout(TIMEOUT_MILLISECONDS);
        listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    }

    public int port() {
        return listener.getLocalPort();
    }

    /** Waits for the next connection and returns it. */
    public Connection accept() throws IOException {
        Socket socket = listener.accept();
        socket.setSoTimeout(TIMEOUT_MILLISECONDS);
        return new Connection(socket);
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }

    /** A connection to the server. */
    public static final class Connection implements AutoCloseable {
        private final Socket socket;
        private final byte[] buffer = new byte[READ_BYTES];

        private Connection(Socket socket) {
            this.socket = socket;
        }

        /** Reads a request's head and nothing of its body, and returns it. */
        public String readHead() throws IOException {
            InputStream input = socket.getInputStream();
            StringBuilder head = new StringBuilder();
            while (head.indexOf(HEAD_END) < 0) {
                int next = input.read();
                if (next < 0) {
                    throw new IOException("The connection ended within a head: " + head);
                }
                head.append((char) next);
            }
            return head.toString();
        }

        /** Reads everything until the other side ends or resets the connection; returns the number of bytes. */
        public long readToEnd() throws IOException {
            long total = 0;
            try {
                for (int count = read(); count >= 0; count = read()) {
                    total += count;
                }
            } catch (SocketException reset) {
                // The connection has ended as well.
            }
            return total;
        }

        /** Reads everything; returns whether the connection was reset instead of ending after all bytes. */
        public boolean readsUntilReset() throws IOException {
            try {
                while (read() >= 0) {
                    // The bytes do not matter.
                }
                return false;
            } catch (SocketException reset) {
                return true;
            }
        }

        public void write(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
        }

        /**
         * Writes a text again and again until the other side closes the connection.
         *
         * @param maxBytes after how many bytes to give up; far more than the buffers of a connection hold
         * @return whether the connection was closed
         */
        public boolean isClosedWhileWriting(String text, long maxBytes) {
            byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
            try {
                for (long written = 0; written < maxBytes; written += bytes.length) {
                    socket.getOutputStream().write(bytes);
                }
                return false;
            } catch (IOException closed) {
                return true;
            }
        }

        /** Ends this server's direction of the connection; the other one stays open. */
        public void endOutput() throws IOException {
            socket.shutdownOutput();
        }

        /** Resets the connection, as the operating system does for a process that is killed with unread data. */
        public void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }

        @Override
        public void close() {
            try {
                socket.close();
            } catch (IOException failure) {
                throw new UncheckedIOException(failure);
            }
        }

        private int read() throws IOException {
            return socket.getInputStream().read(buffer);
        }
    }
}
