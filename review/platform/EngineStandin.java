import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A server of a plain service: accepts connections and hands each request on them to a handler, one after the other. */
final class EngineStandin implements AutoCloseable {
    private final ServerSocket listener;
    private final Handler handler;

    /** Answers one request. */
    interface Handler {
        /** Reads the body of a request and answers it. */
        void handle(HttpRead.Head head, InputStream in, OutputStream out) throws IOException, InterruptedException;
    }

    /**
     * Opens a port.
     *
     * @param receiveBuffer the size of the receive buffer of each connection; 0 for that of the system
     */
    EngineStandin(int receiveBuffer, Handler handler) throws IOException {
        this.handler = handler;
        this.listener = new ServerSocket();
        if (receiveBuffer > 0) {
            listener.setReceiveBufferSize(receiveBuffer);
        }
        listener.bind(new java.net.InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 64);
        Thread.ofVirtual().start(this::accept);
    }

    int port() {
        return listener.getLocalPort();
    }

    /** Returns the registration of this server in the store. */
    static String registration(String service, int port, String state, long seq) {
        return """
                {"service":"%s","address":"127.0.0.1:%d","zone":"zone-a","version":"v1","slots":6,
                 "state":"%s","cold_left_ms":0,"seq":%d,"born":1700000000000}
                """
                .formatted(service, port, state, seq);
    }

    /** Returns the head of an answer with a length, as an engine gives it. */
    static String answerHead(HttpRead.Head request, int length) {
        return """
                HTTP/1.1 200 OK\r
                Request-Id: %s\r
                Response-Stamp: 3e1b.07.5a2.600.0.%s\r
                Content-Type: application/octet-stream\r
                Content-Length: %d\r
                Keep-Alive: timeout=10\r
                Server-Load: 1,0,6\r
                \r
                """
                .formatted(request.header("Request-Id"), request.header("Request-Id"), length);
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }

    private void accept() {
        while (true) {
            try {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                Thread.ofPlatform().daemon().start(() -> serve(socket));
            } catch (IOException closed) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream(), 4096);
            OutputStream out = socket.getOutputStream();
            for (HttpRead.Head head = HttpRead.head(in); head != null; head = HttpRead.head(in)) {
                handler.handle(head, in, out);
                out.flush();
            }
        } catch (IOException | InterruptedException ended) {
            // The entry has closed the connection.
        }
    }
}
