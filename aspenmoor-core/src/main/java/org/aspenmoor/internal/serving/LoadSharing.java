package org.aspenmoor.internal.serving;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;

/**
 * The load of this entry on each backend server, as it is told to the other entries in reports and, between two reports,
 * by announcements of its changes. Confined to one thread; {@code now} is the monotonic clock in nanoseconds.
 *
 * <p>With tens of entries, reports follow each other at intervals of nearly half a second, in which an engine computes
 * several long prompts. Entries that choose engines by the reports alone send prompts to an engine that looks idle while
 * others do the same, and callers wait although other engines are free. Long prompts are therefore announced as soon as
 * they are assigned. That they are computed is left to the next report, and shorter work too: announcing it would cost
 * more than it helps.
 */
public final class LoadSharing {
    /** Increases by less work, in seconds, are left to the next report: they hardly change which engine is best. */
    private static final double MIN_ANNOUNCED_SECONDS = 0.05;

    private final Map<String, ServerEstimate> estimates;
    private final Map<String, EntryLoad> notified = new HashMap<>();
    private final Set<String> touched = new HashSet<>();
    private Runnable listener = () -> {};

    LoadSharing(Map<String, ServerEstimate> estimates) {
        this.estimates = estimates;
    }

    /** Calls the listener whenever there may be changes to announce, at most once until they are taken. */
    public void onChange(Runnable newListener) {
        listener = newListener;
    }

    /** Records that the load on a server has changed. */
    void loadChanged(String server) {
        boolean first = touched.isEmpty();
        touched.add(server);
        if (first) {
            listener.run();
        }
    }

    /** Returns the load to be reported now, by server; servers without load are omitted. */
    public Map<String, EntryLoad> takeLoads(long now) {
        Map<String, EntryLoad> loads = new HashMap<>();
        estimates.forEach((id, estimate) -> {
            EntryLoad load = estimate.ownLoad(now);
            if (load.requests() > 0) {
                loads.put(id, load);
            }
        });
        touched.clear();
        notified.clear();
        notified.putAll(loads);
        return loads;
    }

    /**
     * Returns the changes since the last report that are worth an announcement, and counts them as announced.
     *
     * @param permitted asked whether an announcement may be sent now, only if there is something to announce; what is
     *     not announced remains for a later announcement or the next report
     */
    public List<LoadChange> takeChanges(long now, BooleanSupplier permitted) {
        List<LoadChange> changes = new ArrayList<>();
        for (String server : touched) {
            EntryLoad before = notified.getOrDefault(server, EntryLoad.NONE);
            EntryLoad load = currentLoad(server, now);
            double seconds = load.unansweredSeconds() - before.unansweredSeconds();
            if (seconds >= MIN_ANNOUNCED_SECONDS) {
                changes.add(new LoadChange(server, seconds, load.requests() - before.requests()));
            }
        }
        touched.clear();
        if (changes.isEmpty() || !permitted.getAsBoolean()) {
            return List.of();
        }
        changes.forEach(change -> notified.put(change.server(), currentLoad(change.server(), now)));
        return changes;
    }

    private EntryLoad currentLoad(String server, long now) {
        ServerEstimate estimate = estimates.get(server);
        return estimate == null ? EntryLoad.NONE : estimate.ownLoad(now);
    }
}
