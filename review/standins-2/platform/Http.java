package org.aspenmoor.review;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** One HTTP/1.1 message as read from a socket. */
record Http(String firstLine, Map<String, String> headers, byte[] body) {
    /** Reads a message; null if the connection ended before its first byte. */
    static Http read(InputStream input) throws IOException {
        List<String> lines = new ArrayList<>();
        for (String line = line(input); line != null && (!line.isEmpty() || lines.isEmpty()); line = line(input)) {
            lines.add(line);
        }
        if (lines.isEmpty()) {
            return null;
        }
        Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        for (String line : lines.subList(1, lines.size())) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon), line.substring(colon + 1).strip());
        }
        return new Http(lines.getFirst(), headers, body(input, headers));
    }

    String header(String name) {
        return headers.getOrDefault(name, "");
    }

    int status() {
        return Integer.parseInt(firstLine.split(" ")[1]);
    }

    private static byte[] body(InputStream input, Map<String, String> headers) throws IOException {
        if (headers.getOrDefault("Transfer-Encoding", "").toLowerCase(Locale.ROOT).contains("chunked")) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            while (true) {
                String size = line(input);
                if (size == null) {
                    throw new EOFException("ended in the body");
                }
                int length = Integer.parseInt(size.split(";")[0].strip(), 16);
                if (length == 0) {
                    line(input);
                    return body.toByteArray();
                }
                body.write(exactly(input, length));
                line(input);
            }
        }
        return exactly(input, Integer.parseInt(headers.getOrDefault("Content-Length", "0")));
    }

    private static byte[] exactly(InputStream input, int length) throws IOException {
        byte[] bytes = input.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException("ended in the body");
        }
        return bytes;
    }

    private static String line(InputStream input) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = input.read(); next != '\n'; next = input.read()) {
            if (next < 0) {
                if (line.size() == 0) {
                    return null;
                }
                throw new EOFException("ended in a line");
            }
            if (next != '\r') {
                line.write(next);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }
}
