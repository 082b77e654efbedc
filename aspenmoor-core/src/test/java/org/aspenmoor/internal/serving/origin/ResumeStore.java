package org.aspenmoor.internal.serving.origin;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/** The store of the simulation; calls take some milliseconds, and fail while it is away. */
final class ResumeStore {
    private static final long CALL = Duration.ofMillis(4).toNanos();

    private final ResumeSimulation simulation;
    private final Map<String, Set<StreamOrigin>> statements = new HashMap<>();

    ResumeStore(ResumeSimulation simulation) {
        this.simulation = simulation;
    }

    /** Writes what an entry states; a process that is killed meanwhile may still have written. */
    void state(ResumeEntry entry, Set<StreamOrigin> origins) {
        if (!reachedBy(entry)) {
            entry.schedule(ResumeEntry.STORE_RETRY, () -> state(entry, origins));
            return;
        }
        simulation.after(CALL, () -> statements.put(entry.name(), origins));
        entry.schedule(Duration.ofNanos(2 * CALL), () -> entry.tracker().stated(origins));
    }

    /** Reads what all entries state; returns whether the store was reached. */
    boolean list(ResumeEntry entry) {
        if (!reachedBy(entry)) {
            return false;
        }
        long requestedAt = simulation.time().now();
        entry.schedule(Duration.ofNanos(CALL), () -> {
            Map<String, OriginStatement> listed = new HashMap<>();
            statements.forEach((name, origins) -> listed.put(name, new OriginStatement(origins, Duration.ZERO)));
            entry.schedule(
                    Duration.ofNanos(CALL), () -> entry.tracker().listed(new OriginListing(listed, requestedAt)));
        });
        return true;
    }

    private boolean reachedBy(ResumeEntry entry) {
        return !simulation.storeAway() && !entry.isCut();
    }
}
