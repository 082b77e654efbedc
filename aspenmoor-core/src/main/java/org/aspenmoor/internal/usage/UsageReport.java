package org.aspenmoor.internal.usage;

import java.util.Collections;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * The decided usage of one window, which never changes afterwards.
 *
 * @param window the number of the window
 * @param counts the requests that began to run in it, by organisation
 */
public record UsageReport(long window, SortedMap<String, Long> counts) {
    public UsageReport {
        counts = Collections.unmodifiableSortedMap(new TreeMap<>(counts));
    }

    /** Returns the requests of all organisations. */
    public long total() {
        return counts.values().stream().mapToLong(Long::longValue).sum();
    }
}
