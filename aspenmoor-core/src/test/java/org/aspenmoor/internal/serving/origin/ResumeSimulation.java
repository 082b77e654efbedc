package org.aspenmoor.internal.serving.origin;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.aspenmoor.internal.engine.EngineRole;
import org.aspenmoor.internal.serving.BackendServer;
import org.aspenmoor.internal.serving.BackendState;
import org.aspenmoor.internal.serving.SimulatedTime;
import org.aspenmoor.internal.serving.SoftwareVersion;
import org.aspenmoor.internal.time.TimeSource;

/**
 * Entries whose callers take streams up again at any entry, while engines of several software versions serve. Entries talk
 * by messages that get lost and late, see changes of the servers late, and are killed, restarted, cut off and suspended.
 * Seeded, with a manual clock; times are in nanoseconds.
 */
final class ResumeSimulation {
    private static final long MILLISECOND = Duration.ofMillis(1).toNanos();
    private static final long SECOND = ResumeScenario.SECOND;
    private static final String SERVICE = "drafting";
    private static final double STREAMS_PER_SECOND = 35;
    private static final int EVENTS = 14;
    private static final long FIRST_EVENT = 60 * MILLISECOND;
    private static final long EVENT_INTERVAL = 30 * MILLISECOND;
    private static final long CHECK_INTERVAL = 100 * MILLISECOND;
    private static final int MAX_TRIES = 3;
    private static final int MAX_SEND_ATTEMPTS = 4;

    /** Part of the runs of engines that break off at some event. */
    private static final double BROKEN_RUNS = 1.0 / 8;

    /** Part of the callers that leave at some event and come back. */
    private static final double LEAVING_CALLERS = 1.0 / 7;

    /** An entry that has been killed, cut off or suspended is in touch again this long afterwards. */
    private static final long CONTACT = 3 * SECOND;

    private final ResumeScenario scenario;
    private final SplittableRandom random;
    private final SimulatedTime time = new SimulatedTime(SECOND);
    private final List<Entry> entries = new ArrayList<>();
    private final List<Engine> engines = new ArrayList<>();
    private boolean storeAway;
    private int streams;
    private int begun;
    private int takenUp;
    private int goneOn;
    private int mixed;
    private int messages;

    ResumeSimulation(ResumeScenario scenario, long seed) {
        this.scenario = scenario;
        this.random = new SplittableRandom(seed);
        scenario.versions().forEach(version -> engines.add(new Engine(engines.size(), version)));
        for (int index = 0; index < scenario.entries(); index++) {
            entries.add(new Entry("entry-" + index));
        }
    }

    ResumeSimulation run() {
        entries.forEach(Entry::start);
        scenario.faults().forEach(fault -> time.at(SECOND + (long) (fault.atSecond() * SECOND), () -> apply(fault)));
        time.at(time.now() + SECOND, this::scheduleStream);
        time.runUntil(SECOND + ResumeScenario.END);
        return this;
    }

    /** Returns the number of streams with events of more than one version. */
    int mixed() {
        return mixed;
    }

    /** Returns the part of the streams that begin. */
    double begunShare() {
        return (double) begun / streams;
    }

    /** Returns how many streams were taken up at an entry in touch while two engines of their version served. */
    int takenUp() {
        return takenUp;
    }

    /** Returns the part of them that went on. */
    double goneOnShare() {
        return takenUp == 0 ? 1 : (double) goneOn / takenUp;
    }

    /** Returns the number of messages by which entries told and asked each other about streams. */
    int messages() {
        return messages;
    }

    private void apply(ResumeScenario.Fault fault) {
        switch (fault) {
            case ResumeScenario.EntryKilled killed ->
                entries.get(killed.entry()).kill();
            case ResumeScenario.EntryRestarted restarted -> {
                entries.get(restarted.entry()).tracker.handOver();
                entries.get(restarted.entry()).kill();
            }
            case ResumeScenario.EntrySuspended suspended -> {
                Entry entry = entries.get(suspended.entry());
                entry.suspended = true;
                time.at(time.now() + (long) (suspended.seconds() * SECOND), entry::resume);
            }
            case ResumeScenario.EntryCut cut -> {
                Entry entry = entries.get(cut.entry());
                entry.cut = true;
                time.at(time.now() + (long) (cut.seconds() * SECOND), entry::heal);
            }
            case ResumeScenario.StoreAway away -> {
                storeAway = true;
                time.at(time.now() + (long) (away.seconds() * SECOND), () -> storeAway = false);
            }
            case ResumeScenario.EngineGone gone -> engines.get(gone.engine()).alive = false;
            case ResumeScenario.EngineStarts started -> engines.add(new Engine(engines.size(), started.version()));
        }
    }

    private void scheduleStream() {
        streams++;
        new Stream(streams).begin();
        double seconds = -Math.log(1 - random.nextDouble()) / STREAMS_PER_SECOND;
        time.at(time.now() + (long) (seconds * SECOND), this::scheduleStream);
    }

    private long engineCount(SoftwareVersion version) {
        return engines.stream()
                .filter(engine -> engine.alive && engine.version.equals(version))
                .count();
    }

    /** An engine; its registration is that of a server which is ready. */
    private static final class Engine {
        private final String id;
        private final SoftwareVersion version;
        private boolean alive = true;

        Engine(int number, String version) {
            this.id = "engine-" + number;
            this.version = new SoftwareVersion(version);
        }

        BackendServer registration() {
            return new BackendServer(
                    id, 1, SERVICE, version, "127.0.0.1", 1, "here", 8, BackendState.READY, EngineRole.DECODE);
        }
    }

    /** An entry; its tracker is new with each start. */
    private final class Entry implements OriginNetwork, TimeSource {
        private final String name;
        private StreamOriginTracker tracker;
        private Map<String, Engine> known = new LinkedHashMap<>();
        private boolean alive;
        private boolean suspended;
        private boolean cut;
        private long incarnation;
        private long outOfTouchUntil;

        Entry(String name) {
            this.name = name;
        }

        void start() {
            alive = true;
            incarnation++;
            known = new LinkedHashMap<>();
            tracker = new StreamOriginTracker(this, this);
            check(incarnation);
        }

        void kill() {
            alive = false;
            outOfTouchUntil = time.now() + SECOND + CONTACT;
            time.at(time.now() + SECOND, this::start);
        }

        void resume() {
            suspended = false;
            outOfTouchUntil = time.now() + CONTACT;
        }

        void heal() {
            cut = false;
            outOfTouchUntil = time.now() + CONTACT;
        }

        boolean takesCallers() {
            return alive && !suspended;
        }

        boolean inTouch() {
            return !cut && time.now() >= outOfTouchUntil;
        }

        private void check(long checkedIncarnation) {
            if (!alive || incarnation != checkedIncarnation) {
                return;
            }
            if (!suspended) {
                boolean current = !storeAway && !cut;
                if (current) {
                    known.clear();
                    engines.stream().filter(engine -> engine.alive).forEach(engine -> known.put(engine.id, engine));
                }
                tracker.serversObserved(
                        known.values().stream().map(Engine::registration).toList(), current);
                announceVersions();
            }
            time.at(time.now() + CHECK_INTERVAL, () -> check(checkedIncarnation));
        }

        @Override
        public List<String> activeEntries() {
            return others().stream()
                    .filter(other -> other.alive && !other.suspended && !other.cut && !cut)
                    .map(other -> other.name)
                    .toList();
        }

        @Override
        public List<String> registeredEntries() {
            return others().stream().map(other -> other.name).toList();
        }

        private List<Entry> others() {
            return entries.stream().filter(other -> other != this).toList();
        }

        @Override
        public void tell(String entry, List<KnownStream> told) {
            messages++;
            send(entry, receiver -> receiver.tracker.told(told));
        }

        @Override
        public void ask(String entry, OriginQuestion question) {
            messages++;
            long asking = incarnation;
            send(entry, receiver -> {
                OriginReply reply = receiver.tracker.answer(entry, question);
                receiver.send(name, asker -> {
                    if (asker.incarnation == asking) {
                        asker.tracker.replied(reply);
                    }
                });
            });
        }

        @Override
        public void announceVersions() {
            List<VersionSighting> sightings = tracker.versionsToReport();
            if (!sightings.isEmpty()) {
                others().forEach(other -> send(other.name, receiver -> receiver.tracker.versionsReported(sightings)));
            }
        }

        private void send(String receiverName, Consumer<Entry> action) {
            if (random.nextDouble() < scenario.lostMessages()) {
                return;
            }
            boolean late = random.nextDouble() < scenario.lostMessages();
            long delay = MILLISECOND + (late ? random.nextLong(200 * MILLISECOND) : random.nextLong(MILLISECOND));
            Entry receiver = entries.stream()
                    .filter(entry -> entry.name.equals(receiverName))
                    .findFirst()
                    .orElseThrow();
            time.at(time.now() + delay, () -> {
                if (receiver.alive && !receiver.suspended && !receiver.cut && !cut) {
                    action.accept(receiver);
                }
            });
        }

        @Override
        public void schedule(Duration delay, Runnable action) {
            long scheduled = incarnation;
            time.at(time.now() + delay.toNanos(), () -> {
                if (alive && incarnation == scheduled) {
                    action.run();
                }
            });
        }

        @Override
        public long monotonicNanos() {
            return time.now();
        }

        @Override
        public Instant wallClockTime() {
            return Instant.EPOCH;
        }
    }

    /** A caller's stream over all of its tries. */
    private final class Stream {
        private final int number;
        private final Set<SoftwareVersion> versions = new HashSet<>();
        private String firstRequest = "";
        private int received;
        private int tries;
        private boolean counted;

        Stream(int number) {
            this.number = number;
        }

        void begin() {
            tries++;
            anyEntry().ifPresent(entry -> run(entry, requestId(), null, 0));
        }

        private String requestId() {
            return number + "/" + tries;
        }

        private Optional<Entry> anyEntry() {
            List<Entry> taking = entries.stream().filter(Entry::takesCallers).toList();
            return taking.isEmpty() ? Optional.empty() : Optional.of(taking.get(random.nextInt(taking.size())));
        }

        private void takeUp() {
            if (received == 0 || tries >= MAX_TRIES) {
                return;
            }
            Optional<Entry> reached = anyEntry();
            if (reached.isEmpty()) {
                comeBack();
                return;
            }
            Entry entry = reached.get();
            tries++;
            boolean counts = entry.inTouch() && engineCount(versions.iterator().next()) >= 2;
            counted = counts;
            takenUp += counts ? 1 : 0;
            String request = requestId();
            long asking = entry.incarnation;
            entry.tracker.resolve(StreamKey.of("", firstRequest), List.of(SERVICE), decision -> {
                if (entry.alive && entry.incarnation == asking && decision instanceof ResumeDecision.Continue resume) {
                    run(entry, request, resume.origin().version(), 0);
                }
            });
        }

        /** Sends the request to an engine; tries others if one is gone. */
        private void run(Entry entry, String request, SoftwareVersion required, int attempts) {
            List<Engine> candidates = entry.known.values().stream()
                    .filter(engine -> required == null || engine.version.equals(required))
                    .toList();
            if (candidates.isEmpty() || attempts >= MAX_SEND_ATTEMPTS) {
                return;
            }
            Engine engine = candidates.get(random.nextInt(candidates.size()));
            if (!engine.alive) {
                run(entry, request, required, attempts + 1);
                return;
            }
            int breaksAt = random.nextDouble() < BROKEN_RUNS ? 1 + random.nextInt(EVENTS) : Integer.MAX_VALUE;
            int leavesAt = random.nextDouble() < LEAVING_CALLERS ? 1 + random.nextInt(EVENTS) : Integer.MAX_VALUE;
            long serving = entry.incarnation;
            time.at(
                    time.now() + FIRST_EVENT,
                    () -> event(entry, serving, engine, request, new Limits(breaksAt, leavesAt), attempts));
        }

        private void event(Entry entry, long serving, Engine engine, String request, Limits limits, int attempts) {
            if (!entry.alive || entry.incarnation != serving) {
                comeBack();
                return;
            }
            if (entry.suspended) {
                time.at(time.now() + EVENT_INTERVAL, () -> event(entry, serving, engine, request, limits, attempts));
                return;
            }
            if (!engine.alive || received + 1 >= limits.breaksAt()) {
                continueElsewhere(entry, request, engine, attempts);
                return;
            }
            eventReceived(entry, engine, request);
            if (received >= EVENTS) {
                return;
            }
            if (received >= limits.leavesAt()) {
                comeBack();
                return;
            }
            time.at(time.now() + EVENT_INTERVAL, () -> event(entry, serving, engine, request, limits, attempts));
        }

        private void continueElsewhere(Entry entry, String request, Engine engine, int attempts) {
            if (attempts + 1 >= MAX_SEND_ATTEMPTS) {
                comeBack();
                return;
            }
            boolean begunAlready = received > 0;
            boolean possible = entry.known.values().stream()
                    .anyMatch(other -> !begunAlready || other.version.equals(engine.version));
            if (possible) {
                run(entry, request, begunAlready ? engine.version : null, attempts + 1);
            } else {
                comeBack();
            }
        }

        private void eventReceived(Entry entry, Engine engine, String request) {
            boolean first = firstRequest.isEmpty();
            boolean firstOfTry = first || counted;
            if (first) {
                firstRequest = request;
                begun++;
            }
            if (firstOfTry) {
                goneOn += counted ? 1 : 0;
                counted = false;
                List<StreamKey> keys = first
                        ? List.of(StreamKey.of("", request))
                        : List.of(StreamKey.of("", request), StreamKey.of("", firstRequest));
                entry.tracker.streamBegan(keys, new StreamOrigin(SERVICE, engine.version), List.of(SERVICE));
            }
            received++;
            if (versions.add(engine.version) && versions.size() == 2) {
                mixed++;
            }
        }

        private void comeBack() {
            long pause = 20 * MILLISECOND + random.nextLong(200 * MILLISECOND);
            time.at(time.now() + pause, this::takeUp);
        }
    }

    private record Limits(int breaksAt, int leavesAt) {}
}
