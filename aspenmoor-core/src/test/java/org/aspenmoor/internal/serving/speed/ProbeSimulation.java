package org.aspenmoor.internal.serving.speed;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.aspenmoor.internal.serving.BackendServer;
import org.aspenmoor.internal.serving.EntryLoad;
import org.aspenmoor.internal.serving.EventIntervals;
import org.aspenmoor.internal.serving.ServerSpeed;
import org.aspenmoor.internal.serving.SimulatedTime;

/**
 * Entries that probe engines whose answers state nothing, and report to each other. Reports get lost and late; entries
 * are killed and start again. Seeded, with a manual clock; times are in nanoseconds.
 */
final class ProbeSimulation {
    static final int SERVERS = 38;

    private static final long MILLISECOND = Duration.ofMillis(1).toNanos();
    private static final long SECOND = Duration.ofSeconds(1).toNanos();
    private static final long CHECK_INTERVAL = 100 * MILLISECOND;
    private static final long PROBE_TIME = 5 * MILLISECOND;
    private static final long BEFORE_REPORT = 40 * MILLISECOND;
    private static final long MEASURED_FROM = 7 * SECOND;
    private static final long KILLED_AT = 7 * SECOND;
    private static final long END = 12 * SECOND;
    private static final double REQUESTS_PER_SECOND = 129;
    /** Gateways apply the active entries with each check; with 300 entries that is most of the run time. */
    private static final int CHECKS_BETWEEN_ENTRIES = 3;

    private static final long MAX_SAMPLED = 10;

    private final SplittableRandom random;
    private final double lostReports;
    private final SimulatedTime time = new SimulatedTime(0);
    private final List<BackendServer> servers = IntStream.range(0, SERVERS)
            .mapToObj(index -> ProbeServers.server("engine-" + index))
            .toList();
    private final List<Entry> entries;
    private final List<Long> ages = new ArrayList<>();
    private int probes;

    ProbeSimulation(int entryCount, double lostReports, long seed) {
        this.random = new SplittableRandom(seed);
        this.lostReports = lostReports;
        this.entries = IntStream.range(0, entryCount)
                .mapToObj(index -> new Entry("entry-" + index))
                .toList();
    }

    /** Plays the fleet; part of the entries are killed. */
    Result run(double killedPart) {
        entries.forEach(Entry::start);
        for (int index = 0; index < killedPart * entries.size(); index++) {
            Entry killed = entries.get(index);
            time.at(KILLED_AT, () -> killed.incarnation++);
            time.at(KILLED_AT + 2 * SECOND, killed::start);
        }
        scheduleRequest();
        time.runUntil(END);
        List<Long> sorted = ages.stream().sorted().toList();
        return new Result(
                sorted.get(sorted.size() / 2) / MILLISECOND,
                sorted.get(sorted.size() * 9 / 10) / MILLISECOND,
                (double) probes * SECOND / (END - MEASURED_FROM));
    }

    private void scheduleRequest() {
        double seconds = -Math.log(1 - random.nextDouble()) / REQUESTS_PER_SECOND;
        time.at(time.now() + (long) (seconds * SECOND), () -> {
            Entry entry = entries.get(random.nextInt(entries.size()));
            entry.speeds.requestArrived(ProbeServers.SERVICE, time.now());
            entry.lastServer = servers.get(random.nextInt(SERVERS)).id();
            scheduleRequest();
        });
    }

    /**
     * The figures of a run.
     *
     * @param medianAge age of the newest statement that an entry knows of a server, in milliseconds
     * @param age90 the age that 90 in 100 stay below, in milliseconds
     * @param probesPerSecond probes of all entries together
     */
    record Result(long medianAge, long age90, double probesPerSecond) {}

    /** An entry; its state is new with each start. */
    private final class Entry {
        private final String name;
        private final Map<String, Long> heardAt = new HashMap<>();
        private KnownSpeeds speeds;
        private EntryTurns turns;
        private ProbeSchedule schedule;
        private String lastServer;
        private int incarnation;
        private int checks;

        Entry(String name) {
            this.name = name;
        }

        void start() {
            incarnation++;
            heardAt.clear();
            checks = 0;
            speeds = new KnownSpeeds();
            servers.forEach(speeds::serverChanged);
            turns = new EntryTurns(name);
            schedule = new ProbeSchedule(speeds, turns);
            lastServer = servers.getFirst().id();
            repeat(CHECK_INTERVAL, this::check);
            repeat(Math.max(CHECK_INTERVAL, entries.size() * 10L * MILLISECOND), this::probeAndReport);
        }

        private void repeat(long interval, Runnable action) {
            repeatFrom(time.now() + random.nextLong(interval), interval, incarnation, action);
        }

        private void repeatFrom(long first, long interval, int started, Runnable action) {
            time.at(first, () -> {
                if (started == incarnation) {
                    action.run();
                    repeatFrom(time.now() + interval, interval, started, action);
                }
            });
        }

        private void check() {
            if (checks++ % CHECKS_BETWEEN_ENTRIES == 0) {
                heardAt.values().removeIf(at -> time.now() - at > 1500 * MILLISECOND);
                turns.activeEntries(
                        heardAt.keySet(), heardAt.isEmpty() ? entries.size() : heardAt.size() + 1, time.now());
            }
            schedule.take(servers, time.now()).forEach(this::probe);
            if (time.now() >= MEASURED_FROM) {
                servers.stream()
                        .skip(random.nextInt(SERVERS))
                        .limit(MAX_SAMPLED)
                        .forEach(this::measure);
            }
        }

        private void measure(BackendServer server) {
            ages.add(speeds.find(server.id())
                    .flatMap(KnownSpeed::newestStatementAt)
                    .map(at -> time.now() - at)
                    .orElse(END));
        }

        private void probe(BackendServer server) {
            if (time.now() >= MEASURED_FROM) {
                probes++;
            }
            int started = incarnation;
            time.at(time.now() + PROBE_TIME, () -> {
                if (started == incarnation) {
                    speeds.stated(server, 1, time.now());
                    schedule.answered(server, time.now());
                }
            });
        }

        private void probeAndReport() {
            int started = incarnation;
            schedule.takeBeforeReport(servers, time.now()).forEach(this::probe);
            time.at(time.now() + BEFORE_REPORT, () -> {
                if (started == incarnation) {
                    report();
                }
            });
        }

        private void report() {
            List<ServerSpeed> reported = speeds.toReport(time.now());
            Map<String, EntryLoad> loads = Map.of(lastServer, new EntryLoad(0, 1, EventIntervals.NONE, 0));
            for (Entry other : entries) {
                if (other != this && random.nextDouble() >= lostReports) {
                    long delay = random.nextDouble() < lostReports ? 300 * MILLISECOND : 5 * MILLISECOND;
                    time.at(time.now() + delay, () -> other.receive(name, reported, loads));
                }
            }
        }

        private void receive(String sender, List<ServerSpeed> reported, Map<String, EntryLoad> loads) {
            heardAt.put(sender, time.now());
            speeds.reported(sender, reported, time.now());
            speeds.loadReported(loads, time.now());
        }
    }
}
