package org.aspenmoor.internal.serving.origin;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The store of the simulation; calls take some milliseconds, and fail while it is away. */
final class ResumeStore {
    private static final long CALL = Duration.ofMillis(4).toNanos();
    private static final Duration RECORD_RETRY = Duration.ofMillis(500);

    private final ResumeSimulation simulation;
    private final Map<String, Set<StreamOrigin>> statements = new HashMap<>();
    private final Map<String, List<KnownStream>> records = new HashMap<>();
    private int recordWrites;

    ResumeStore(ResumeSimulation simulation) {
        this.simulation = simulation;
    }

    /** Writes what an entry states; a process that is killed meanwhile may still have written. */
    void state(ResumeEntry entry, Set<StreamOrigin> origins) {
        if (!takesStatements(entry)) {
            entry.schedule(ResumeEntry.STORE_RETRY, () -> state(entry, origins));
            return;
        }
        simulation.after(CALL, () -> statements.put(entry.name(), origins));
        entry.schedule(Duration.ofNanos(2 * CALL), () -> entry.tracker().statementAccepted(origins));
    }

    /** Reads what all entries state; returns whether the store was reached. */
    boolean list(ResumeEntry entry) {
        if (!takesStatements(entry)) {
            return false;
        }
        long requestedAt = simulation.time().now();
        entry.schedule(Duration.ofNanos(CALL), () -> {
            Map<String, OriginStatement> listed = new HashMap<>();
            statements.forEach((name, origins) -> listed.put(name, new OriginStatement(origins, Duration.ZERO)));
            entry.schedule(Duration.ofNanos(CALL), () -> {
                // An entry makes one call after the other, so no listing is older than what it has written itself.
                addStatement(entry, listed);
                entry.tracker().statementsListed(new OriginListing(listed, requestedAt));
            });
        });
        return true;
    }

    private boolean takesStatements(ResumeEntry entry) {
        return entry.reachesStore() && !simulation.statementsAway();
    }

    private void addStatement(ResumeEntry entry, Map<String, OriginStatement> listed) {
        if (statements.containsKey(entry.name())) {
            listed.put(entry.name(), new OriginStatement(statements.get(entry.name()), Duration.ZERO));
        }
    }

    /** Writes the record of an entry; while the store is away nothing is written. */
    void record(ResumeEntry entry, List<KnownStream> streams) {
        if (!entry.reachesStore()) {
            return;
        }
        recordWrites++;
        simulation.after(CALL, () -> records.put(entry.name(), streams));
    }

    void loadRecords(ResumeEntry entry) {
        if (!entry.reachesStore()) {
            entry.schedule(RECORD_RETRY, () -> loadRecords(entry));
            return;
        }
        entry.schedule(Duration.ofNanos(CALL), () -> {
            Map<String, StreamRecord> read = new HashMap<>();
            records.forEach((name, streams) -> read.put(name, new StreamRecord(streams, Duration.ZERO)));
            entry.schedule(Duration.ofNanos(CALL), () -> entry.tracker().recordsLoaded(read));
        });
    }

    int recordWrites() {
        return recordWrites;
    }
}
