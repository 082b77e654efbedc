package org.aspenmoor.internal.gateway.standin;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/** Reads HTTP messages from a stream byte by byte, so that no HTTP library hides faults in them. */
final class HttpReader {
    private static final int HEX_RADIX = 16;

    private final InputStream input;

    HttpReader(InputStream input) {
        this.input = input;
    }

    ReceivedRequest readMessage() throws IOException {
        String line = readLine();
        Map<String, String> headers = readHeaders();
        return new ReceivedRequest(line, headers, readBody(headers));
    }

    String readLine() throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (true) {
            int next = input.read();
            if (next < 0) {
                throw new EOFException(
                        "The connection was closed within a line, after: " + line.toString(StandardCharsets.UTF_8));
            }
            if (next == '\n') {
                return line.toString(StandardCharsets.UTF_8).replace("\r", "");
            }
            line.write(next);
        }
    }

    Map<String, String> readHeaders() throws IOException {
        Map<String, String> headers = new HashMap<>();
        for (String line = readLine(); !line.isEmpty(); line = readLine()) {
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).strip());
        }
        return headers;
    }

    String readBody(Map<String, String> headers) throws IOException {
        if (headers.containsKey("content-length")) {
            return readExactly(Integer.parseInt(headers.get("content-length")));
        }
        if (!"chunked".equals(headers.get("transfer-encoding"))) {
            return "";
        }
        StringBuilder body = new StringBuilder();
        while (true) {
            int length = Integer.parseInt(readLine().strip(), HEX_RADIX);
            body.append(readExactly(length));
            readLine();
            if (length == 0) {
                return body.toString();
            }
        }
    }

    private String readExactly(int length) throws IOException {
        byte[] bytes = input.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException("The connection was closed within a body.");
        }
        return new String(bytes, StandardCharsets.UTF_8);
    }
}
