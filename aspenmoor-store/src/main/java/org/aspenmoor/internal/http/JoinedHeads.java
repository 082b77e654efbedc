package org.aspenmoor.internal.http;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.AsciiString;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * Finds heads that a decoder has read from the parts of two heads: the status line of the second one is then a part of the
 * reason phrase or of a header.
 */
public final class JoinedHeads {
    private static final String STATUS_LINE_BEGINNING = "HTTP/";
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/\\d(?:\\.\\d)? \\d{3}");

    private JoinedHeads() {}

    /** Returns the part of a head that contains a second status line; empty if there is none. */
    public static Optional<String> find(HttpResponse head) {
        String reason = head.status().reasonPhrase();
        return containsStatusLine(reason) ? Optional.of(reason) : find(head.headers());
    }

    /** Returns the header or trailer that contains a status line; empty if there is none. */
    public static Optional<String> find(HttpHeaders headers) {
        Iterator<Map.Entry<CharSequence, CharSequence>> lines = headers.iteratorCharSequence();
        while (lines.hasNext()) {
            Map.Entry<CharSequence, CharSequence> line = lines.next();
            if (containsStatusLine(line.getValue()) || containsStatusLine(line.getKey())) {
                return Optional.of(line.getKey() + ": " + line.getValue());
            }
        }
        return Optional.empty();
    }

    /** Returns whether a text contains a status line. */
    public static boolean containsStatusLine(CharSequence text) {
        return AsciiString.contains(text, STATUS_LINE_BEGINNING)
                && STATUS_LINE.matcher(text).find();
    }
}
