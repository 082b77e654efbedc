package org.aspenmoor.internal.document;

import java.time.Duration;
import java.util.List;

/** Formats values for messages. */
final class MessageText {
    private static final double MILLIS_PER_SECOND = 1000.0;

    private MessageText() {}

    /** Joins names with commas; returns "(none)" for an empty list. */
    static String list(List<String> names) {
        return names.isEmpty() ? "(none)" : String.join(", ", names);
    }

    /** Formats a duration in seconds. */
    static String seconds(Duration duration) {
        return number(duration.toMillis() / MILLIS_PER_SECOND) + " s";
    }

    /** Formats a number, without a fraction if it is an integer. */
    static String number(double number) {
        return number == Math.rint(number) ? String.valueOf((long) number) : String.valueOf(number);
    }
}
