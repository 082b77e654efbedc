import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Reads HTTP/1.1 messages from a stream. */
final class HttpRead {
    private HttpRead() {}

    /** The first line and the headers of a message; the names are in lower case. */
    record Head(String firstLine, Map<String, String> headers) {
        int status() {
            return Integer.parseInt(firstLine.split(" ")[1]);
        }

        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }

        boolean chunked() {
            return header("Transfer-Encoding").toLowerCase(Locale.ROOT).contains("chunked");
        }
    }

    /** Reads a head; null if the stream ends before it. */
    static Head head(InputStream in) throws IOException {
        String firstLine = line(in);
        if (firstLine == null) {
            return null;
        }
        Map<String, String> headers = new LinkedHashMap<>();
        for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).strip());
        }
        return new Head(firstLine, headers);
    }

    /** Reads a body that has a length or comes in chunks; throws an exception if it is cut off. */
    static byte[] body(InputStream in, Head head) throws IOException {
        if (!head.chunked()) {
            int length = head.header("Content-Length").isEmpty() ? 0 : Integer.parseInt(head.header("Content-Length"));
            return exactly(in, length);
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            String size = line(in);
            if (size == null) {
                throw new EOFException("the connection ended before the last chunk");
            }
            int length = Integer.parseInt(size.split(";")[0].strip(), 16);
            body.write(exactly(in, length));
            line(in);
            if (length == 0) {
                return body.toByteArray();
            }
        }
    }

    private static byte[] exactly(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException("the connection ended after " + bytes.length + " of " + length + " bytes");
        }
        return bytes;
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                return null;
            }
            line.write(next);
        }
        return line.toString(StandardCharsets.ISO_8859_1).stripTrailing();
    }
}
