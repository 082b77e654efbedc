package org.aspenmoor.internal.serving.origin;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import org.aspenmoor.internal.engine.EngineRole;
import org.aspenmoor.internal.serving.BackendServer;
import org.aspenmoor.internal.serving.BackendState;
import org.aspenmoor.internal.serving.SoftwareVersion;
import org.aspenmoor.internal.time.TimeSource;

/** Records what is sent, and has a manual clock. */
final class ManualOriginNetwork implements OriginNetwork, TimeSource {
    private final List<Told> told = new ArrayList<>();
    private final List<Told> toRecord = new ArrayList<>();
    private final List<List<KnownStream>> recorded = new ArrayList<>();
    private int loads;
    private final List<String> asked = new ArrayList<>();
    private final List<Scheduled> scheduled = new ArrayList<>();
    private List<String> entries = List.of();
    private List<String> active = List.of();
    private int announcements;
    private int listingRequests;
    private final List<Set<StreamOrigin>> stated = new ArrayList<>();
    private Instant wallClockTime = Instant.EPOCH;
    private long now = Duration.ofHours(1).toNanos();

    void setEntries(List<String> registered, List<String> heard) {
        entries = registered;
        active = heard;
    }

    void setWallClockTime(Instant newTime) {
        wallClockTime = newTime;
    }

    List<Told> told() {
        return told;
    }

    /** Returns what others are to write to the store. */
    List<Told> toRecord() {
        return toRecord;
    }

    /** Returns the records that this entry has written to the store. */
    List<List<KnownStream>> recorded() {
        return recorded;
    }

    int loads() {
        return loads;
    }

    List<String> asked() {
        return asked;
    }

    int announcements() {
        return announcements;
    }

    int listingRequests() {
        return listingRequests;
    }

    /** Returns what was to be written to the store. */
    List<Set<StreamOrigin>> stated() {
        return stated;
    }

    /** Returns one ready server of each version. */
    static List<BackendServer> servers(String service, SoftwareVersion... versions) {
        return Stream.of(versions)
                .map(version -> new BackendServer(
                        version.name(),
                        1,
                        service,
                        version,
                        "127.0.0.1",
                        1,
                        "here",
                        8,
                        BackendState.READY,
                        EngineRole.DECODE))
                .toList();
    }

    /** Lets time pass and runs the actions that are due by then. */
    void pass(Duration duration) {
        now += duration.toNanos();
        List<Scheduled> due =
                scheduled.stream().filter(each -> each.at() <= now).toList();
        scheduled.removeAll(due);
        due.forEach(each -> each.action().run());
    }

    @Override
    public String ownEntry() {
        return "own";
    }

    @Override
    public void writeStatement(Set<StreamOrigin> origins) {
        stated.add(origins);
    }

    @Override
    public void listStatements() {
        listingRequests++;
    }

    @Override
    public List<String> activeEntries() {
        return active;
    }

    @Override
    public List<String> registeredEntries() {
        return entries;
    }

    @Override
    public void tell(String entry, List<KnownStream> streams, boolean record) {
        (record ? toRecord : told).add(new Told(entry, streams));
    }

    @Override
    public void ask(String entry, OriginQuestion question) {
        asked.add(entry);
    }

    @Override
    public void announceVersions() {
        announcements++;
    }

    @Override
    public void record(List<KnownStream> streams) {
        recorded.add(streams);
    }

    @Override
    public void loadRecords() {
        loads++;
    }

    @Override
    public void schedule(Duration delay, Runnable action) {
        scheduled.add(new Scheduled(now + delay.toNanos(), action));
    }

    @Override
    public long monotonicNanos() {
        return now;
    }

    @Override
    public Instant wallClockTime() {
        return wallClockTime;
    }

    /** What an entry was told. */
    record Told(String entry, List<KnownStream> streams) {}

    private record Scheduled(long at, Runnable action) {}
}
