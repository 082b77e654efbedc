package org.aspenmoor.internal.serving.limit;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.aspenmoor.internal.duty.OrderStanding;
import org.aspenmoor.internal.engine.EngineRole;
import org.aspenmoor.internal.routing.EngineSpeed;
import org.aspenmoor.internal.serving.AssignedWork;
import org.aspenmoor.internal.serving.BackendServer;
import org.aspenmoor.internal.serving.BackendState;
import org.aspenmoor.internal.serving.PeerLoads;
import org.aspenmoor.internal.serving.PeerMeasurements;
import org.aspenmoor.internal.serving.PeerReport;
import org.aspenmoor.internal.serving.Placement;
import org.aspenmoor.internal.serving.PlacementPolicy;
import org.aspenmoor.internal.serving.PlacementRequest;
import org.aspenmoor.internal.serving.PlacementSettings;
import org.aspenmoor.internal.serving.SimulatedTime;
import org.aspenmoor.internal.serving.SoftwareVersion;
import org.aspenmoor.internal.serving.VersionRequirement;
import org.aspenmoor.internal.serving.WorkKind;
import org.aspenmoor.internal.serving.entries.EntryListing;
import org.aspenmoor.internal.serving.entries.KnownEntries;

/**
 * Entries that place requests on plain servers, some of which state a limit for a while. Reports among the entries get
 * lost and late; entries are killed and suspended. Seeded, with a manual clock; times are in nanoseconds.
 */
final class LimitSimulation {
    static final long MILLISECOND = Duration.ofMillis(1).toNanos();
    static final long SECOND = Duration.ofSeconds(1).toNanos();

    private static final String SERVICE = "plain";
    private static final Duration OBJECTIVE = Duration.ofMillis(150);
    private static final long NETWORK = MILLISECOND;
    private static final int MAX_CALLER_ATTEMPTS = 2;

    /** How long an entry is suspended, or away between its end and its next start. */
    private static final long FAULT_SPAN = 2 * SECOND;

    /** Time between the restarts of two entries that are restarted in turn. */
    private static final long TURN = 300 * MILLISECOND;

    private static final long SHARE_SAMPLE_INTERVAL = SECOND;

    /** Mean time between two spans in which an entry hears nothing. */
    private static final long DEAF_INTERVAL = 8 * SECOND;

    /** Maximum time from the start of an entry until it has read the registrations. */
    private static final long MAX_LISTING_DELAY = 500 * MILLISECOND;

    private final LimitScenario scenario;
    private final SplittableRandom random;
    private final SimulatedTime time = new SimulatedTime(SECOND);
    private final List<BackendServer> servers = new ArrayList<>();
    private final List<Entry> entries = new ArrayList<>();
    private final Set<String> registrations = new TreeSet<>();
    private final List<Arrival> arrivals = new ArrayList<>();
    private final Map<String, Double> mostShared = new HashMap<>();
    private int asked;
    private int served;

    LimitSimulation(LimitScenario scenario, long seed) {
        this.scenario = scenario;
        this.random = new SplittableRandom(seed);
        for (int index = 0; index < scenario.servers(); index++) {
            servers.add(server(index, 1));
        }
        for (int index = 0; index < scenario.entries(); index++) {
            entries.add(new Entry(index));
        }
    }

    /** Plays the scenario. */
    LimitSimulation run() {
        startEntries();
        if (scenario.hearing().deafSpan() > 0) {
            entries.forEach(Entry::scheduleDeafSpan);
        }
        scheduleArrival();
        sampleShares();
        scheduleFaults(scenario.faults());
        time.runUntil(scenario.until());
        return this;
    }

    private void startEntries() {
        for (Entry entry : entries) {
            if (scenario.faults().added().contains(entry.index)) {
                time.at(scenario.faults().at(), entry::start);
                continue;
            }
            if (!scenario.faults().firstStart()) {
                registrations.add(entry.name);
            }
            entry.start();
        }
    }

    private void sampleShares() {
        if (time.now() >= scenario.limitFrom() && time.now() < scenario.limitUntil()) {
            scenario.limited().forEach(server -> mostShared.merge(server, sharedPerSecond(server), Math::max));
        }
        time.at(time.now() + SHARE_SAMPLE_INTERVAL, this::sampleShares);
    }

    private double sharedPerSecond(String server) {
        return entries.stream()
                .filter(entry -> entry.alive)
                .flatMap(entry -> entry.limits.summary(server, time.now()).stream())
                .mapToDouble(LimitSummary::share)
                .sum();
    }

    /** Returns the highest sum of the shares that all entries had of a server's limit, in requests per second. */
    double mostShared(String server) {
        return mostShared.getOrDefault(server, 0.0);
    }

    private void scheduleFaults(EntryFaults faults) {
        faults.suspended().forEach(entry -> {
            time.at(faults.at(), () -> entries.get(entry).suspended = true);
            time.at(faults.at() + FAULT_SPAN, () -> entries.get(entry).suspended = false);
        });
        faults.killed().forEach(entry -> scheduleRestart(entry, faults.at()));
        if (faults.restartsInTurn()) {
            for (int entry = 0; entry < entries.size(); entry++) {
                scheduleRestart(entry, faults.at() + entry * TURN);
            }
        }
    }

    private void scheduleRestart(int entry, long at) {
        time.at(at, () -> entries.get(entry).alive = false);
        time.at(at + FAULT_SPAN, () -> entries.get(entry).start());
    }

    /** Returns the most requests that a server got within four seconds from entries that it had told of its limit. */
    int mostInFourSeconds(String server) {
        List<Long> counted = arrivals.stream()
                .filter(arrival -> arrival.server().equals(server) && arrival.countsForLimit())
                .map(Arrival::at)
                .filter(at -> at < scenario.limitUntil())
                .toList();
        int most = 0;
        int first = 0;
        for (int last = 0; last < counted.size(); last++) {
            while (counted.get(last) - counted.get(first) > 4 * SECOND) {
                first++;
            }
            if (counted.get(last) >= scenario.limitFrom() + 3 * SECOND) {
                most = Math.max(most, last - first + 1);
            }
        }
        return most;
    }

    /** Returns the requests a second that a server got in a span, from all entries. */
    double perSecond(String server, long from, long until) {
        long count = arrivals.stream()
                .filter(arrival -> arrival.server().equals(server) && arrival.at() >= from && arrival.at() < until)
                .count();
        return count * (double) SECOND / (until - from);
    }

    /** Returns the part of the callers that were served. */
    double servedFraction() {
        return (double) served / asked;
    }

    static String serverId(int index) {
        return "server-" + index;
    }

    private BackendServer server(int index, long startedAt) {
        return new BackendServer(
                serverId(index),
                startedAt,
                SERVICE,
                new SoftwareVersion("one"),
                "127.0.0.1",
                index,
                "here",
                6,
                BackendState.READY,
                EngineRole.WHOLE);
    }

    private void scheduleArrival() {
        double seconds = -Math.log(1 - random.nextDouble()) / scenario.load().callersPerSecond();
        time.at(time.now() + (long) (seconds * SECOND), () -> {
            asked++;
            callAt(pickEntry(), 1);
            scheduleArrival();
        });
    }

    private Entry pickEntry() {
        double position = Math.pow(random.nextDouble(), scenario.load().skew());
        return entries.get((int) (position * entries.size()));
    }

    private void callAt(Entry entry, int attempt) {
        if (!entry.alive || entry.suspended) {
            return;
        }
        PlacementRequest request = new PlacementRequest(
                SERVICE,
                Optional.empty(),
                Duration.ofSeconds(2),
                OBJECTIVE,
                false,
                Set.of(),
                false,
                false,
                false,
                new VersionRequirement.Any());
        switch (entry.policy.choose(request, time.now())) {
            case Placement.SingleServer single -> entry.send(single);
            case Placement.Refused refused -> {
                if (attempt < MAX_CALLER_ATTEMPTS) {
                    time.at(time.now() + refused.retryAfter().toNanos(), () -> callAt(pickEntry(), attempt + 1));
                }
            }
            case Placement.Disaggregated disaggregated ->
                throw new IllegalStateException("a plain service has no prompts");
            case Placement.Queued queued -> throw new IllegalStateException("a plain request does not queue");
        }
    }

    private long answerDuration() {
        List<Duration> durations = scenario.load().answerDurations();
        return durations.get(random.nextInt(durations.size())).toNanos();
    }

    private LimitStatement statement(String server, long at) {
        boolean limited =
                scenario.limited().contains(server) && at >= scenario.limitFrom() && at < scenario.limitUntil();
        return limited ? new LimitStatement.Limited(scenario.limit()) : new LimitStatement.Unlimited();
    }

    private record Arrival(String server, long at, boolean countsForLimit) {}

    /** An entry; its state is new with each start. */
    private final class Entry {
        private final int index;
        private final String name;
        private final Map<String, Long> toldAt = new HashMap<>();
        private PeerLoads peers;
        private KnownEntries known;
        private ServerLimits limits;
        private PlacementPolicy policy;
        private boolean alive;
        private boolean suspended;
        private long deafUntil;
        private long incarnation;
        private long reports;

        Entry(int index) {
            this.index = index;
            this.name = "entry-" + index;
        }

        void start() {
            alive = true;
            incarnation++;
            toldAt.clear();
            peers = new PeerLoads();
            known = new KnownEntries(name);
            limits = new ServerLimits(known, new Random(random.nextLong()));
            policy = new PlacementPolicy(
                    new PlacementSettings("here", EngineSpeed.defaults(), 0.5, 0),
                    peers,
                    limits,
                    new Random(random.nextLong()));
            servers.forEach(server -> policy.serverChanged(server, 0));
            long started = incarnation;
            time.at(time.now() + random.nextLong(100 * MILLISECOND), () -> report(started));
            time.at(time.now() + random.nextLong(MAX_LISTING_DELAY), () -> register(started));
        }

        private void register(long startedIncarnation) {
            if (!alive || startedIncarnation != incarnation) {
                return;
            }
            boolean added = registrations.add(name) && registrations.size() > 1;
            list(added ? Optional.of(time.now()) : Optional.empty(), startedIncarnation);
        }

        private void list(Optional<Long> joinedAt, long startedIncarnation) {
            if (!alive || startedIncarnation != incarnation) {
                return;
            }
            Map<String, String> versions =
                    registrations.stream().collect(Collectors.toMap(Function.identity(), entry -> "1"));
            known.listed(new EntryListing(versions, time.now(), joinedAt), time.now());
            time.at(time.now() + KnownEntries.LISTING_INTERVAL.toNanos(), () -> list(joinedAt, startedIncarnation));
        }

        private void report(long reportingIncarnation) {
            if (!alive || reportingIncarnation != incarnation) {
                return;
            }
            if (!suspended) {
                reports++;
                PeerReport report = new PeerReport(
                        name,
                        incarnation,
                        reports,
                        policy.ownLoads(time.now()),
                        List.of(),
                        List.of(),
                        List.of(),
                        List.of(),
                        List.of(),
                        limits.toReport(time.now()),
                        List.of(),
                        List.of(),
                        Optional.empty(),
                        new OrderStanding(name, true, 0),
                        PeerMeasurements.NONE,
                        false);
                entries.stream().filter(other -> other != this).forEach(other -> deliver(report, other));
                peers.expire(time.now());
            }
            long interval = Math.max(100, 10L * (entries.size() - 1)) * MILLISECOND;
            time.at(time.now() + interval, () -> report(reportingIncarnation));
        }

        private void deliver(PeerReport report, Entry receiver) {
            if (random.nextDouble() < scenario.hearing().lost()
                    || scenario.hearing().separated(index, receiver.index, time.now())) {
                return;
            }
            boolean late = random.nextDouble() < scenario.hearing().lost();
            long delay = NETWORK + (late ? random.nextLong(300 * MILLISECOND) : 0);
            time.at(time.now() + delay, () -> {
                if (receiver.hears()) {
                    receiver.known.heard(name, time.now());
                    receiver.peers.receive(report, time.now());
                    report.limits().forEach(limit -> receiver.limits.reported(name, limit, time.now()));
                }
            });
        }

        private boolean hears() {
            return alive && !suspended && time.now() >= deafUntil;
        }

        private void scheduleDeafSpan() {
            long pause = (long) (-Math.log(1 - random.nextDouble()) * DEAF_INTERVAL);
            time.at(time.now() + pause, () -> {
                deafUntil = time.now() + scenario.hearing().deafSpan();
                scheduleDeafSpan();
            });
        }

        private void send(Placement.SingleServer placement) {
            BackendServer server = placement.server();
            AssignedWork work =
                    policy.attemptStarted(server, WorkKind.PLAIN, placement.promptSeconds(), OBJECTIVE, time.now());
            long told = toldAt.getOrDefault(server.id(), Long.MAX_VALUE);
            long arrivesAt = time.now() + NETWORK;
            boolean counts = told != Long.MAX_VALUE && told + SECOND / 2 <= arrivesAt;
            arrivals.add(new Arrival(server.id(), arrivesAt, counts));
            long sendingIncarnation = incarnation;
            long answersAt = arrivesAt + answerDuration();
            LimitStatement statement = statement(server.id(), answersAt);
            time.at(answersAt + NETWORK, () -> {
                if (alive && !suspended && incarnation == sendingIncarnation) {
                    answered(work, statement);
                }
            });
        }

        private void answered(AssignedWork work, LimitStatement statement) {
            served++;
            limits.stated(work.server(), statement, work.startedAtNanos(), time.now());
            policy.answerStarted(work, time.now());
            policy.attemptEnded(work);
            if (statement instanceof LimitStatement.Limited) {
                toldAt.putIfAbsent(work.server(), time.now());
            }
        }
    }
}
