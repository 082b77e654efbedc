package org.aspenmoor.internal.serving;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.SplittableRandom;
import org.aspenmoor.internal.duty.OrderStanding;
import org.aspenmoor.internal.routing.EngineSpeed;
import org.aspenmoor.internal.serving.entries.KnownEntries;
import org.aspenmoor.internal.serving.limit.ServerLimits;
import org.aspenmoor.internal.serving.quarantine.ServerIncarnation;

/**
 * Entries that place requests on plain servers, some of which turn requests away with a pause or announce that they are
 * draining, while their registrations say that they are ready. Reports among the entries get lost and late; entries are
 * killed and suspended. Seeded, with a manual clock; times are in nanoseconds.
 */
final class StatementSimulation {
    static final long MILLISECOND = Duration.ofMillis(1).toNanos();
    static final long SECOND = Duration.ofSeconds(1).toNanos();

    private static final Duration OBJECTIVE = Duration.ofMillis(150);
    private static final Duration DEADLINE = Duration.ofSeconds(2);
    private static final long NETWORK = MILLISECOND;
    private static final long REPORT_INTERVAL = 100 * MILLISECOND;
    private static final int MAX_ATTEMPTS = 2;
    private static final int MAX_CALLER_ATTEMPTS = 2;

    /** Callers wait for a third of their time at most before they return. */
    private static final long MAX_CALLER_PAUSE = DEADLINE.toNanos() / 3;

    private final StatementScenario scenario;
    private final SplittableRandom random;
    private final SimulatedTime time = new SimulatedTime(SECOND);
    private final List<SimulatedServer> servers = new ArrayList<>();
    private final List<Entry> entries = new ArrayList<>();
    private int asked;
    private int served;

    StatementSimulation(StatementScenario scenario, long seed) {
        this.scenario = scenario;
        this.random = new SplittableRandom(seed);
        for (int index = 0; index < StatementScenario.SERVERS; index++) {
            servers.add(new SimulatedServer(index, scenario));
        }
        for (int index = 0; index < scenario.entries(); index++) {
            entries.add(new Entry(index));
        }
    }

    StatementSimulation run() {
        entries.forEach(Entry::start);
        scheduleArrival();
        scenario.suspended().forEach(entry -> {
            time.at(StatementScenario.FAULT_AT, () -> entries.get(entry).suspend());
            time.at(StatementScenario.FAULT_AT + 2 * SECOND, () -> entries.get(entry).suspended = false);
        });
        scenario.killed().forEach(entry -> {
            time.at(StatementScenario.FAULT_AT, () -> entries.get(entry).kill());
            time.at(
                    StatementScenario.FAULT_AT + 2 * SECOND,
                    () -> entries.get(entry).start());
        });
        time.runUntil(StatementScenario.END);
        return this;
    }

    SimulatedServer server(int index) {
        return servers.get(index);
    }

    /** Returns the part of the callers who came while servers stated something that were served. */
    double servedFraction() {
        return (double) served / asked;
    }

    private void scheduleArrival() {
        double seconds = -Math.log(1 - random.nextDouble()) / scenario.callersPerSecond();
        time.at(time.now() + (long) (seconds * SECOND), () -> {
            boolean counts = time.now() >= StatementScenario.STATED_FROM && time.now() < StatementScenario.STATED_UNTIL;
            asked += counts ? 1 : 0;
            call(new Call(counts, time.now(), new HashSet<>()), 1);
            scheduleArrival();
        });
    }

    private void call(Call call, int callerAttempt) {
        Entry entry = entries.get(random.nextInt(entries.size()));
        if (entry.alive && !entry.suspended) {
            entry.place(call, callerAttempt);
        }
    }

    /** A request that a caller sent, and the servers that it has been to. */
    private record Call(boolean counts, long sentAt, Set<String> tried) {}

    /** An entry; its state is new with each start. */
    private final class Entry {
        private final int number;
        private PeerLoads peers;
        private BackendDirectory directory;
        private PlacementPolicy policy;
        private boolean alive;
        private boolean suspended;
        private long incarnation;
        private long reports;

        Entry(int number) {
            this.number = number;
        }

        void start() {
            alive = true;
            incarnation++;
            peers = new PeerLoads();
            directory = new BackendDirectory();
            policy = new PlacementPolicy(
                    new PlacementSettings(TestServers.DATA_CENTRE, EngineSpeed.defaults(), 0.5, 0),
                    peers,
                    new ServerLimits(new KnownEntries("one"), new Random(random.nextLong())),
                    new Random(random.nextLong()));
            servers.forEach(server -> policy.serverChanged(directory.registrationChanged(server.registration()), 0));
            long started = incarnation;
            time.at(time.now() + random.nextLong(REPORT_INTERVAL), () -> report(started));
        }

        void kill() {
            alive = false;
            servers.forEach(server -> server.forgetEntry(number));
        }

        void suspend() {
            suspended = true;
            servers.forEach(server -> server.forgetEntry(number));
        }

        private void report(long reportingIncarnation) {
            if (!alive || reportingIncarnation != incarnation) {
                return;
            }
            if (!suspended) {
                reports++;
                PeerReport report = createReport();
                entries.stream().filter(other -> other != this).forEach(other -> deliver(report, other));
                peers.expire(time.now());
            }
            time.at(time.now() + REPORT_INTERVAL, () -> report(reportingIncarnation));
        }

        private PeerReport createReport() {
            String name = "entry-" + number;
            return new PeerReport(
                    name,
                    incarnation,
                    reports,
                    policy.ownLoads(time.now()),
                    List.of(),
                    List.of(),
                    List.of(),
                    List.of(),
                    List.of(),
                    List.of(),
                    directory.unregisteredDrains(),
                    List.of(),
                    Optional.empty(),
                    new OrderStanding(name, false, 0),
                    PeerMeasurements.NONE,
                    false);
        }

        private void deliver(PeerReport report, Entry receiver) {
            if (random.nextDouble() < scenario.lostReports()) {
                return;
            }
            boolean late = random.nextDouble() < scenario.lostReports();
            long delay = NETWORK + (late ? random.nextLong(300 * MILLISECOND) : 0);
            time.at(time.now() + delay, () -> {
                if (receiver.alive && !receiver.suspended) {
                    receiver.peers.receive(report, time.now());
                    report.drainingServers().forEach(receiver::drainAnnounced);
                }
            });
        }

        private void drainAnnounced(ServerIncarnation server) {
            if (directory.drainAnnounced(server)) {
                directory.find(server.serverId()).ifPresent(known -> policy.serverChanged(known, 0));
            }
        }

        private void place(Call call, int callerAttempt) {
            PlacementRequest request = new PlacementRequest(
                    TestServers.PLAIN_SERVICE,
                    Optional.empty(),
                    DEADLINE,
                    OBJECTIVE,
                    false,
                    call.tried(),
                    false,
                    false,
                    false,
                    new VersionRequirement.Any());
            switch (policy.choose(request, time.now())) {
                case Placement.SingleServer single -> send(call, callerAttempt, single);
                case Placement.Refused refused -> comeBack(call, callerAttempt, refused.retryAfter());
                case Placement.Disaggregated disaggregated ->
                    throw new IllegalStateException("a plain service has no prompts");
                case Placement.Queued queued -> throw new IllegalStateException("a plain request does not queue");
            }
        }

        private void comeBack(Call call, int callerAttempt, Duration retryAfter) {
            if (callerAttempt < MAX_CALLER_ATTEMPTS) {
                long pause = Math.min(MAX_CALLER_PAUSE, retryAfter.toNanos());
                Call next = new Call(call.counts(), time.now() + pause, new HashSet<>());
                time.at(next.sentAt(), () -> call(next, callerAttempt + 1));
            }
        }

        private void send(Call call, int callerAttempt, Placement.SingleServer placement) {
            BackendServer target = placement.server();
            AssignedWork work =
                    policy.attemptStarted(target, WorkKind.PLAIN, placement.promptSeconds(), OBJECTIVE, time.now());
            call.tried().add(target.id());
            long sendingIncarnation = incarnation;
            time.at(time.now() + NETWORK, () -> {
                SimulatedServer.Answer answer = server(target.port()).requestArrived(number, call.sentAt(), time.now());
                time.at(answer.at() + NETWORK, () -> {
                    if (alive && !suspended && incarnation == sendingIncarnation) {
                        answered(call, callerAttempt, work, target, answer);
                    }
                });
            });
        }

        private void answered(
                Call call, int callerAttempt, AssignedWork work, BackendServer target, SimulatedServer.Answer answer) {
            if (answer.draining()) {
                drainAnnounced(ServerIncarnation.of(target));
                server(target.port()).entryToldOfDrain(number, time.now());
            }
            if (answer.pause().isEmpty()) {
                served += call.counts() ? 1 : 0;
                policy.answerStarted(work, time.now());
                policy.attemptEnded(work);
                return;
            }
            policy.backoffs().requested(target.id(), answer.pause().get(), time.now());
            policy.attemptRejected(work, time.now());
            policy.attemptEnded(work);
            if (call.tried().size() < MAX_ATTEMPTS) {
                place(call, callerAttempt);
            } else {
                comeBack(call, callerAttempt, answer.pause().get());
            }
        }
    }
}
