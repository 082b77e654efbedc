package org.aspenmoor.internal.usage;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.stream.LongStream;

/** Counts the requests of this entry that began to run, by window and organisation. Confined to one thread. */
public final class UsageCounter {
    private final String entry;
    private final long incarnation;
    private final SortedMap<Long, Map<String, Long>> windows = new TreeMap<>();

    /**
     * Creates a counter.
     *
     * @param entry the name of this entry
     * @param incarnation the time of its start in milliseconds since 1970
     */
    public UsageCounter(String entry, long incarnation) {
        this.entry = entry;
        this.incarnation = incarnation;
    }

    /** Counts a request. */
    public void add(long window, String organisation) {
        windows.computeIfAbsent(window, unseen -> new HashMap<>()).merge(organisation, 1L, Long::sum);
        while (windows.size() > UsageLedger.MAX_WINDOWS) {
            windows.remove(windows.firstKey());
        }
    }

    /**
     * Returns the counts of a range of windows, also of those without a request.
     *
     * @param lastComplete the last window in which nothing more will be counted
     */
    public List<EntryUsage> usage(long first, long last, long lastComplete) {
        return LongStream.rangeClosed(first, last)
                .mapToObj(window -> new EntryUsage(
                        entry, incarnation, window, window <= lastComplete, windows.getOrDefault(window, Map.of())))
                .toList();
    }
}
