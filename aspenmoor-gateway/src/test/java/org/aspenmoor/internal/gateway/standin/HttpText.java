package org.aspenmoor.internal.gateway.standin;

import java.util.Locale;

/** Formats HTTP messages in their wire format. */
public final class HttpText {
    /** The last chunk, which ends a chunked body. */
    public static final String LAST_CHUNK = "0\r\n\r\n";

    private static final String LINE_END = "\r\n";

    private HttpText() {}

    /** Returns a message head with the given lines and the terminating empty line. */
    public static String head(String... lines) {
        return String.join(LINE_END, lines) + LINE_END + LINE_END;
    }

    /** Returns one chunk of a chunked body. */
    public static String chunk(String text) {
        return Integer.toHexString(text.length()).toLowerCase(Locale.ROOT) + LINE_END + text + LINE_END;
    }
}
