package org.aspenmoor.internal.usage;

import java.time.Duration;

/**
 * The division of true time into windows of equal length, numbered from the start of 1970.
 *
 * @param length the length of a window
 */
public record UsageWindows(Duration length) {
    /** Returns the window that contains a time. */
    public long at(long millis) {
        return Math.floorDiv(millis, length.toMillis());
    }

    /** Returns when a window has ended, in milliseconds since 1970. */
    public long endMillis(long window) {
        return (window + 1) * length.toMillis();
    }
}
