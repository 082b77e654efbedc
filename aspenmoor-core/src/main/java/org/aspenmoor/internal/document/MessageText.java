package org.aspenmoor.internal.document;

import java.time.Duration;
import java.util.List;

/** Small parts of sentences that several messages share. */
final class MessageText {
    private static final double MILLIS_PER_SECOND = 1000.0;

    private MessageText() {}

    /** Joins names for reading; says "(none)" for an empty list. */
    static String list(List<String> names) {
        return names.isEmpty() ? "(none)" : String.join(", ", names);
    }

    /** Writes a duration in seconds. */
    static String seconds(Duration duration) {
        return number(duration.toMillis() / MILLIS_PER_SECOND) + " s";
    }

    /** Writes a number without a useless fraction. */
    static String number(double number) {
        return number == Math.rint(number) ? String.valueOf((long) number) : String.valueOf(number);
    }
}
