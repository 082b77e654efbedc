package org.aspenmoor.internal.usage;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * The counts of all entries that this entry knows. Confined to one thread.
 *
 * <p>Counts only grow within one incarnation of an entry. The larger of two values is therefore the newer one, and
 * messages may be lost, repeated or overtake each other. An entry that restarts counts from zero as another incarnation,
 * so what it counted before stays.
 */
public final class UsageLedger {
    /** Windows that are kept, so that counts outlast an outage of the store or of the receiver of reports. */
    public static final int MAX_WINDOWS = 24;

    private final SortedMap<Long, WindowCounts> windows = new TreeMap<>();

    /** Adds what an entry has counted; the entry may be this one. */
    public void add(EntryUsage usage) {
        WindowCounts window = windows.computeIfAbsent(usage.window(), unseen -> new WindowCounts());
        Map<String, Long> counts = window.byIncarnation.computeIfAbsent(
                new EntryIncarnation(usage.entry(), usage.incarnation()), unseen -> new HashMap<>());
        usage.counts().forEach((organisation, count) -> counts.merge(organisation, count, Math::max));
        if (usage.complete()) {
            window.completeEntries.add(usage.entry());
        }
        while (windows.size() > MAX_WINDOWS) {
            windows.remove(windows.firstKey());
        }
    }

    /** Returns the sum of all entries in a window, by organisation. */
    public SortedMap<String, Long> totals(long window) {
        SortedMap<String, Long> totals = new TreeMap<>();
        WindowCounts known = windows.getOrDefault(window, new WindowCounts());
        for (Map<String, Long> counts : known.byIncarnation.values()) {
            counts.forEach((organisation, count) -> totals.merge(organisation, count, Long::sum));
        }
        return totals;
    }

    /** Returns whether all these entries have counted a window completely. */
    public boolean complete(long window, Collection<String> entries) {
        return windows.getOrDefault(window, new WindowCounts()).completeEntries.containsAll(entries);
    }

    /** Returns the entries that have counted a window completely. */
    public Set<String> completeEntries(long window) {
        return Set.copyOf(windows.getOrDefault(window, new WindowCounts()).completeEntries);
    }

    /** Returns whether any entry has reported on a window. */
    public boolean known(long window) {
        return windows.containsKey(window);
    }

    /** One incarnation of an entry. */
    private record EntryIncarnation(String entry, long incarnation) {}

    /** The counts of one window. */
    private static final class WindowCounts {
        private final Map<EntryIncarnation, Map<String, Long>> byIncarnation = new HashMap<>();
        private final Set<String> completeEntries = new HashSet<>();
    }
}
