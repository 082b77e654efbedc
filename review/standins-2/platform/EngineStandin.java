package org.aspenmoor.review;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/** A plain application server: one request at a time on a connection, answers with a length and its signature. */
final class EngineStandin implements AutoCloseable {
    private static final int BODY_BYTES = 800;
    private static final int CUT_BYTES = 40;
    private static final long SECOND_ANSWER_MILLIS = 100;

    private final String id;
    private final String service;
    private final ServerSocket listener;
    private final Record record;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private final long bornMillis = System.currentTimeMillis();
    private volatile String keepAlive = "timeout=5";
    private volatile long workMillis = 15;
    private final List<Double> runsAt = new CopyOnWriteArrayList<>();
    private volatile int cutPercent;
    private final AtomicInteger answers = new AtomicInteger();

    EngineStandin(String id, String service, Record record) throws IOException {
        this.id = id;
        this.service = service;
        this.record = record;
        this.listener = new ServerSocket(0, 1024, InetAddress.getLoopbackAddress());
        Thread.ofVirtual().start(this::accept);
    }

    String id() {
        return id;
    }

    /** Returns when it began to run each request, in seconds of the record. */
    List<Double> runsAt() {
        return runsAt;
    }

    /** Sets the value of the header that states the idle timeout. */
    void keepAlive(String value) {
        keepAlive = value;
    }

    /** Sets of how many of a hundred answers the end is missing, with an earlier answer sent a second time behind it. */
    void cutPercent(int percent) {
        cutPercent = percent;
    }

    /** Returns the whole body of the answer to a request. */
    static String body(String requestId) {
        return ("answer to " + requestId + " ").repeat(BODY_BYTES).substring(0, BODY_BYTES);
    }

    void workMillis(long millis) {
        workMillis = millis;
    }

    /** Returns the registration that the engine keeps in the store. */
    ObjectNode registration(String state) {
        return Json.object()
                .put("service", service)
                .put("address", "127.0.0.1:" + listener.getLocalPort())
                .put("zone", "lima-a")
                .put("version", "1")
                .put("slots", 6)
                .put("state", state)
                .put("cold_left_ms", 0)
                .put("born", bornMillis)
                .put("seq", 0);
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
                sockets.add(socket);
                Thread.ofVirtual().start(() -> serve(socket));
            } catch (IOException closed) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            BufferedInputStream input = new BufferedInputStream(socket.getInputStream());
            byte[] earlier = new byte[0];
            for (Http request = Http.read(input); request != null; request = Http.read(input)) {
                earlier = answer(request, socket.getOutputStream(), earlier);
            }
        } catch (IOException | InterruptedException ended) {
            // The caller has closed the connection.
        }
        sockets.remove(socket);
    }

    /** Answers a request and returns the answer; the one before on this connection is given. */
    private byte[] answer(Http request, OutputStream output, byte[] earlier) throws IOException, InterruptedException {
        String target = request.firstLine().split(" ")[1];
        if (target.equals("/healthz")) {
            return write(output, "200 OK", "Instance-Id: " + id + "\r\n", "");
        }
        String requestId = request.header("Request-Id");
        String expected = request.header("Expect-Instance");
        if (!expected.isEmpty() && !expected.equals(id)) {
            record.add(id + " refuses " + requestId + " meant for " + expected);
            return write(output, "421 Misdirected Request", "Request-Id: " + requestId + "\r\n", "");
        }
        runsAt.add(record.seconds());
        record.add(id + " runs " + requestId + " " + request.firstLine() + " bytes " + request.body().length);
        Thread.sleep(workMillis);
        String headers = "Request-Id: " + requestId + "\r\nResponse-Stamp: " + id + "." + requestId + "\r\n";
        if (earlier.length == 0 || !cutNext()) {
            return write(output, "200 OK", headers, body(requestId));
        }
        byte[] whole = message("200 OK", headers, body(requestId));
        output.write(whole, 0, whole.length - CUT_BYTES);
        output.flush();
        record.add(id + " sends the answer to " + requestId + " without its last " + CUT_BYTES + " bytes");
        Thread.sleep(SECOND_ANSWER_MILLIS);
        output.write(earlier);
        output.flush();
        record.add(id + " sends an earlier answer a second time on that connection");
        return whole;
    }

    private boolean cutNext() {
        int number = answers.incrementAndGet();
        return number * cutPercent / 100 != (number - 1) * cutPercent / 100;
    }

    private byte[] write(OutputStream output, String status, String headers, String body) throws IOException {
        byte[] message = message(status, headers, body);
        output.write(message);
        output.flush();
        return message;
    }

    private byte[] message(String status, String headers, String body) {
        String message = "HTTP/1.1 " + status + "\r\nContent-Length: " + body.length() + "\r\nKeep-Alive: " + keepAlive
                + "\r\nServer-Load: 1,0,6\r\n" + headers + "\r\n" + body;
        return message.getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Ends as a process does: its port is closed and its connections break. */
    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket socket : sockets) {
            socket.close();
        }
    }
}
