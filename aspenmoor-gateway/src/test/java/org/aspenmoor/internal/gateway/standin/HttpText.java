package org.aspenmoor.internal.gateway.standin;

import java.util.Locale;

/** Writes HTTP messages as they are on the wire. */
public final class HttpText {
    /** What ends a body in chunks. */
    public static final String END_OF_CHUNKS = "0\r\n\r\n";

    private static final String LINE_END = "\r\n";

    private HttpText() {}

    /** Returns a head of the given lines with the empty line that ends it. */
    public static String head(String... lines) {
        return String.join(LINE_END, lines) + LINE_END + LINE_END;
    }

    /** Returns one chunk of a body. */
    public static String chunk(String text) {
        return Integer.toHexString(text.length()).toLowerCase(Locale.ROOT) + LINE_END + text + LINE_END;
    }
}
