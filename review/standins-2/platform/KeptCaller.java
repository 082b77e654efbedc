package org.aspenmoor.review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;

/** A caller that keeps its connection open for several requests. */
final class KeptCaller implements AutoCloseable {
    private final Record record;
    private final Socket socket = new Socket();
    private final InputStream input;

    KeptCaller(Record record, int port) throws IOException {
        this.record = record;
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress("127.0.0.1", port), 1000);
        input = new BufferedInputStream(socket.getInputStream());
    }

    /** Returns whether the other side has closed the connection. */
    boolean closed() {
        try {
            socket.setSoTimeout(1);
            input.mark(1);
            int next = input.read();
            input.reset();
            return next < 0;
        } catch (SocketTimeoutException open) {
            return false;
        } catch (IOException reset) {
            return true;
        }
    }

    Caller.Outcome send(String method, String path, String id, long deadlineMillis) {
        double sentAt = record.seconds();
        record.add("caller sends " + id + " on its kept connection");
        int status = 0;
        String how;
        try {
            socket.getOutputStream()
                    .write(Caller.head(method, path, id, deadlineMillis).getBytes(StandardCharsets.ISO_8859_1));
            socket.setSoTimeout((int) deadlineMillis);
            Http answer = Http.read(input);
            status = answer == null ? 0 : answer.status();
            how = answer == null ? "closed without an answer" : "answered";
        } catch (SocketTimeoutException late) {
            how = "no answer";
        } catch (IOException failed) {
            how = "connection failed: " + failed.getMessage();
        }
        Caller.Outcome outcome = new Caller.Outcome(id, status, how, sentAt, record.seconds());
        record.add("caller of " + id + ": " + status + " " + how + " after " + Math.round(outcome.seconds() * 1000)
                + " ms");
        return outcome;
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
