package org.aspenmoor.internal.usage;

import java.util.Map;

/**
 * What one entry has counted in one window so far, or a part of it.
 *
 * @param entry the name of the entry
 * @param incarnation distinguishes restarts of the entry; the time of its start in milliseconds since 1970
 * @param window the number of the window
 * @param complete whether the entry will count nothing more in this window
 * @param counts the requests that began to run, by organisation; organisations may be left out
 */
public record EntryUsage(String entry, long incarnation, long window, boolean complete, Map<String, Long> counts) {
    public EntryUsage {
        counts = Map.copyOf(counts);
    }
}
