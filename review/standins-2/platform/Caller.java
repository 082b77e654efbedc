package org.aspenmoor.review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;

/** Sends one request on a new connection and notes how it ends. */
final class Caller {
    /** How a success with a wrong body begins to be described; the end of that body follows. */
    static final String OTHER_BODY = "answered with another body, which ends ";

    private static final int SHOWN_CHARACTERS = 50;

    /** How a request ended: the status, or 0 if there was no answer. */
    record Outcome(String id, int status, String how, double sentAt, double endedAt) {
        double seconds() {
            return endedAt - sentAt;
        }
    }

    private Caller() {}

    /**
     * Sends a request and waits for its answer.
     *
     * @param deadlineMillis what the request states in its deadline
     * @param patienceMillis after how long the caller leaves
     */
    static Outcome call(
            Record record, int port, String method, String path, String id, long deadlineMillis, long patienceMillis) {
        double sentAt = record.seconds();
        record.add("caller sends " + id + " " + method + " " + path);
        Outcome outcome;
        try (Socket socket = new Socket()) {
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress("127.0.0.1", port), 1000);
            OutputStream output = socket.getOutputStream();
            output.write(head(method, path, id, deadlineMillis).getBytes(StandardCharsets.ISO_8859_1));
            output.flush();
            socket.setSoTimeout((int) patienceMillis);
            Http answer = Http.read(new BufferedInputStream(socket.getInputStream()));
            outcome = answer == null
                    ? new Outcome(id, 0, "closed without an answer", sentAt, record.seconds())
                    : new Outcome(id, answer.status(), how(answer, path, id), sentAt, record.seconds());
        } catch (SocketTimeoutException late) {
            outcome = new Outcome(id, 0, "no answer", sentAt, record.seconds());
        } catch (IOException failed) {
            outcome = new Outcome(id, 0, "connection failed: " + failed.getMessage(), sentAt, record.seconds());
        }
        record.add("caller of " + id + ": " + outcome.status() + " " + outcome.how() + " after "
                + Math.round(outcome.seconds() * 1000) + " ms");
        return outcome;
    }

    /** Says whether a success of a plain server has the body that the server gives to this request. */
    private static String how(Http answer, String path, String id) {
        boolean plain = path.startsWith(Deployment.SAFE) || path.startsWith(Deployment.UNSAFE);
        String body = new String(answer.body(), StandardCharsets.ISO_8859_1);
        return plain && answer.status() == 200 && !body.equals(EngineStandin.body(id))
                ? OTHER_BODY + body.substring(Math.max(0, body.length() - SHOWN_CHARACTERS)).strip().replace("\r\n", "|")
                : "answered";
    }

    private static String prompt(String path, String id) {
        return path.startsWith(Deployment.DRAFT) || path.startsWith(Deployment.CLASSIFY)
                ? "Model: m\r\nToken-Count: 17020,12\r\nPrompt-Prefix: " + Integer.toHexString(id.hashCode() % 173)
                        + ":13300," + Integer.toHexString(id.hashCode()) + ":3720\r\n"
                : "";
    }

    static String head(String method, String path, String id, long deadlineMillis) {
        return method + " " + path + " HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: " + id + "\r\nDeadline-Ms: "
                + deadlineMillis + "\r\n" + prompt(path, id) + (method.equals("POST") ? "Content-Length: 0\r\n" : "") + "\r\n";
    }
}
