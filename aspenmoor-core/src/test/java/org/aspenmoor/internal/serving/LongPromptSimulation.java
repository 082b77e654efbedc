package org.aspenmoor.internal.serving;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.aspenmoor.internal.engine.EngineRole;
import org.aspenmoor.internal.routing.EngineSpeed;
import org.aspenmoor.internal.serving.entries.KnownEntries;
import org.aspenmoor.internal.serving.limit.ServerLimits;

/**
 * Many entries that send long prompts to engines, which compute them one after the other and slower than the settings
 * say. Entries report their load at intervals, and announce its changes in between if they are allowed to.
 */
final class LongPromptSimulation {
    private static final EngineSpeed SPEED = new EngineSpeed(112_000, 0.003, 0.000_1, 0.25, 2048, 0.008, 2_300_000);
    private static final Duration OBJECTIVE = Duration.ofMillis(600);
    private static final Duration TIME_LEFT = Duration.ofSeconds(5);
    private static final long NANOSECONDS_PER_SECOND = 1_000_000_000L;
    private static final long REPORT_INTERVAL_PER_ENTRY = 10_000_000L;
    private static final long ANNOUNCEMENT_DELAY = 12_000_000L;
    private static final long DURATION = 20 * NANOSECONDS_PER_SECOND;
    private static final int PROMPT_TOKENS = 9_000;

    /** Real duration of a prompt as a multiple of what the settings say. */
    private static final double REAL_FACTOR = 1.6;

    private final Random random;
    private final boolean announces;
    private final double lostFraction;
    private final List<Entry> entries = new ArrayList<>();
    private final Map<String, Long> enginesFreeAt = new HashMap<>();
    private final PriorityQueue<Event> events = new PriorityQueue<>((one, other) -> Long.compare(one.at, other.at));
    private final double promptSeconds;
    private int late;
    private int started;

    LongPromptSimulation(long seed, int entryCount, int engineCount, boolean announces, double lostFraction) {
        this.random = new Random(seed);
        this.announces = announces;
        this.lostFraction = lostFraction;
        this.promptSeconds = REAL_FACTOR * SPEED.prefillSeconds(PROMPT_TOKENS);
        for (int index = 0; index < entryCount; index++) {
            entries.add(new Entry("entry-" + index, engineCount, entryCount));
        }
    }

    /** Returns the fraction of the answers that started late, at a load given as a fraction of the engines' time. */
    double lateFraction(double utilisation) {
        double arrivalsPerSecond = utilisation * enginesFreeAt.size() / promptSeconds;
        schedule(0, now -> arrive(now, arrivalsPerSecond));
        for (Entry entry : entries) {
            schedule((long) (random.nextDouble() * entry.reportInterval), entry::report);
        }
        while (!events.isEmpty() && events.peek().at < DURATION) {
            Event next = events.poll();
            next.action.run(next.at);
        }
        return (double) late / started;
    }

    private void arrive(long now, double perSecond) {
        Entry entry = entries.get(random.nextInt(entries.size()));
        entry.place(now);
        double gap = -Math.log(1 - random.nextDouble()) / perSecond;
        schedule(now + (long) (gap * NANOSECONDS_PER_SECOND), later -> arrive(later, perSecond));
    }

    private void schedule(long at, Action action) {
        events.add(new Event(at, action));
    }

    /** Delivers a message to each other entry unless it is lost. */
    private void deliver(Entry sender, java.util.function.Consumer<Entry> message) {
        for (Entry receiver : entries) {
            if (receiver != sender && random.nextDouble() >= lostFraction) {
                message.accept(receiver);
            }
        }
    }

    private interface Action {
        void run(long now);
    }

    private record Event(long at, Action action) {}

    private final class Entry {
        private final String name;
        private final long reportInterval;
        private final PeerLoads peers = new PeerLoads();
        private final PlacementPolicy policy;
        private long sequence;
        private int prompts;

        private Entry(String name, int engineCount, int entryCount) {
            this.name = name;
            this.reportInterval = Math.max(10, entryCount) * REPORT_INTERVAL_PER_ENTRY;
            PlacementSettings settings = new PlacementSettings(TestServers.DATA_CENTRE, SPEED, 0.42, 0);
            this.policy = new PlacementPolicy(
                    settings,
                    peers,
                    new ServerLimits(new KnownEntries("one"), new Random(1)),
                    new Random(random.nextLong()));
            for (int index = 0; index < engineCount; index++) {
                BackendServer engine = TestServers.engine("engine-" + index, EngineRole.WHOLE);
                enginesFreeAt.put(engine.id(), 0L);
                policy.serverChanged(engine, TestServers.CACHE_TOKENS);
            }
        }

        private void place(long now) {
            Prompt prompt = new Prompt(
                    "m",
                    PROMPT_TOKENS,
                    12,
                    Optional.empty(),
                    List.of(new PromptPart(name + prompts, PROMPT_TOKENS - 100), new PromptPart("own" + prompts, 100)));
            prompts++;
            PlacementRequest request = new PlacementRequest(
                    TestServers.MODEL_SERVICE,
                    Optional.of(prompt),
                    TIME_LEFT,
                    OBJECTIVE,
                    false,
                    Set.of(),
                    false,
                    false,
                    false,
                    new VersionRequirement.Any());
            started++;
            if (!(policy.choose(request, now) instanceof Placement.SingleServer chosen)) {
                late++;
                return;
            }
            AssignedWork work =
                    policy.attemptStarted(chosen.server(), WorkKind.WHOLE, chosen.promptSeconds(), OBJECTIVE, now);
            announceSoon(now);
            long begins = Math.max(now, enginesFreeAt.get(work.server()));
            long ready = begins + (long) (promptSeconds * NANOSECONDS_PER_SECOND);
            enginesFreeAt.put(work.server(), ready);
            late += ready - now > OBJECTIVE.toNanos() ? 1 : 0;
            schedule(ready, at -> {
                policy.answerStarted(work, at);
                policy.attemptEnded(work);
                announceSoon(at);
            });
        }

        private void announceSoon(long now) {
            if (!announces) {
                return;
            }
            schedule(now + ANNOUNCEMENT_DELAY, at -> {
                LoadChanges changes =
                        new LoadChanges(name, 1, sequence, policy.loadSharing().takeChanges(at, () -> true));
                deliver(this, receiver -> receiver.peers.receive(changes));
            });
        }

        private void report(long now) {
            sequence++;
            PeerReport report = TestReports.of(
                    name,
                    1,
                    sequence,
                    policy.ownLoads(now),
                    new PeerMeasurements(List.of(), List.of(), policy.speeds().takeObservedStartDelays(), List.of()));
            deliver(this, receiver -> {
                receiver.peers.receive(report, now);
                report.measurements().startDelays().forEach(receiver.policy.speeds()::learnStartDelays);
            });
            schedule(now + reportInterval, this::report);
        }
    }
}
