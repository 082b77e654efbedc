package org.aspenmoor.review;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/** A model engine: streams events, computes prompts for others, changes its stage when it is ordered to. */
final class ModelEngine implements AutoCloseable {
    private static final int EVENTS = 5;
    private static final long SWITCH_MILLIS = 3000;

    /** A prompt of 17,020 tokens at 112 tokens a millisecond, most of it kept from earlier prompts. */
    private static final long PROMPT_MILLIS = 60;

    /** A decode engine reads a prompt at half the speed and between the tokens of other requests. */
    private static final long OWN_PROMPT_MILLIS = 200;

    private static final long TRANSFER_MILLIS = 20;

    /** The handles that all engines hold; one that is fetched is gone. */
    private static final Set<String> HANDLES = ConcurrentHashMap.newKeySet();

    private final String id;
    private final String service;
    private final ServerSocket listener;
    private final Record record;
    private final AtomicLong handles = new AtomicLong();
    private final long bornMillis = System.currentTimeMillis();
    private volatile String stage = "decode";
    private volatile long busyUntil;
    private volatile int orders;

    ModelEngine(String id, String service, Record record) throws IOException {
        this.id = id;
        this.service = service;
        this.record = record;
        this.listener = new ServerSocket(0, 1024, InetAddress.getLoopbackAddress());
        Thread.ofVirtual().start(this::accept);
    }

    String id() {
        return id;
    }

    ObjectNode registration(String state) {
        ObjectNode spec = Json.object()
                .put("service", service)
                .put("address", "127.0.0.1:" + listener.getLocalPort())
                .put("zone", "lima-a")
                .put("version", "1")
                .put("slots", 128)
                .put("state", state)
                .put("cold_left_ms", 0)
                .put("born", bornMillis)
                .put("stage", stage)
                .put("seq", orders);
        spec.putArray("models").addObject().put("name", "m").put("version", 1).putArray("adapters");
        return spec;
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
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
            for (Http request = Http.read(input); request != null; request = Http.read(input)) {
                answer(request, socket.getOutputStream());
            }
        } catch (IOException | InterruptedException ended) {
            // The caller has closed the connection.
        }
    }

    private void answer(Http request, OutputStream output) throws IOException, InterruptedException {
        String[] first = request.firstLine().split(" ");
        String expected = request.header("Expect-Instance");
        String requestId = request.header("Request-Id");
        if (!expected.isEmpty() && !expected.equals(id)) {
            write(output, "421 Misdirected Request", "Request-Id: " + requestId + "\r\n", "");
            return;
        }
        switch (first[1]) {
            case "/healthz" -> write(output, "200 OK", "Instance-Id: " + id + "\r\n", "");
            case "/aspenmoor/report" -> write(output, "200 OK", "", report().toString());
            case "/aspenmoor/kv-list" ->
                write(output, "200 OK", "", "{\"epoch\":1,\"next\":0,\"held\":[]}");
            case "/aspenmoor/order" -> order(request, output);
            default -> {
                if (first[1].startsWith("/aspenmoor/")) {
                    write(output, "200 OK", "", "");
                } else {
                    run(request, requestId, output);
                }
            }
        }
    }

    private ObjectNode report() {
        ObjectNode report = Json.object()
                .put("stage", stage)
                .put("busy", System.nanoTime() < busyUntil)
                .put("seq", orders)
                .put("queued", 0)
                .put("running", 1)
                .put("kv_used", 1000)
                .put("kv_total", 726452)
                .put("kv_handles", 0)
                .put("born", bornMillis);
        report.putArray("models");
        return report;
    }

    private synchronized void order(Http request, OutputStream output) throws IOException {
        String wanted = Json.parse(request.body()).path("stage").asText();
        record.add(id + " is ordered " + new String(request.body(), StandardCharsets.UTF_8));
        orders++;
        stage = wanted;
        busyUntil = System.nanoTime() + SWITCH_MILLIS * 1_000_000;
        write(output, "202 Accepted", "", "");
    }

    private void run(Http request, String requestId, OutputStream output) throws IOException, InterruptedException {
        if (System.nanoTime() < busyUntil) {
            write(output, "503 Service Unavailable", "Request-Id: " + requestId + "\r\nNot-Executed: 1\r\n", "");
            return;
        }
        boolean prompt = request.header("Serving-Stage").equals("prefill");
        if (prompt != stage.equals("prefill")) {
            write(output, "421 Misdirected Request", "Request-Id: " + requestId + "\r\n", "");
            return;
        }
        if (prompt) {
            Thread.sleep(PROMPT_MILLIS);
            String handle = id + handles.incrementAndGet();
            HANDLES.add(handle);
            record.add(id + " computes the prompt of " + requestId + " handle " + handle);
            write(
                    output,
                    "200 OK",
                    "Request-Id: " + requestId + "\r\n",
                    "{\"kv_handle\":\"" + handle + "\",\"tokens\":1460,\"version\":1}");
            return;
        }
        String source = request.header("Kv-Source");
        if (!source.isEmpty() && !HANDLES.remove(source.substring(source.indexOf('/') + 1))) {
            record.add(id + " cannot fetch " + source + " for " + requestId);
            write(output, "503 Service Unavailable", "Request-Id: " + requestId + "\r\nNot-Executed: 1\r\n", "");
            return;
        }
        record.add(id + " runs " + requestId + " from " + source);
        Thread.sleep(source.isEmpty() ? OWN_PROMPT_MILLIS : TRANSFER_MILLIS);
        String head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
                + "Server-Load: 1,0,128\r\nRequest-Id: " + requestId + "\r\nResponse-Stamp: " + id + "." + requestId
                + "\r\n\r\n";
        output.write(head.getBytes(StandardCharsets.ISO_8859_1));
        for (int event = 1; event <= EVENTS; event++) {
            String text = "id: " + event + "\ndata: " + requestId + "\n\n";
            output.write((Integer.toHexString(text.length()) + "\r\n" + text + "\r\n")
                    .getBytes(StandardCharsets.ISO_8859_1));
            output.flush();
            Thread.sleep(5);
        }
        output.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
        output.flush();
    }

    private void write(OutputStream output, String status, String headers, String body) throws IOException {
        String message = "HTTP/1.1 " + status + "\r\nContent-Length: " + body.length() + "\r\n" + headers + "\r\n" + body;
        output.write(message.getBytes(StandardCharsets.ISO_8859_1));
        output.flush();
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
