package org.aspenmoor.internal.serving.quarantine;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

/**
 * Simulates a fleet in steps of ten milliseconds: entries with one quarantine each, few engines for answers that restart
 * some seconds after they terminate, sound requests that share parts of their prompts, and requests with a part that
 * terminates each engine that begins an answer to it. No two requests are alike.
 */
final class PromptPartSimulation {
    private static final int ENGINES = 3;
    private static final int STEP_MILLIS = 10;
    private static final int LENGTH_MILLIS = 60_000;
    private static final int REPORT_INTERVAL_MILLIS = 100;
    private static final int ENGINE_RESTART_MILLIS = 3000;
    private static final int FATAL_FROM_MILLIS = 8000;
    private static final int MAX_PREFILL_MILLIS = 300;
    private static final int MAX_BEGINNING_MILLIS = 60;
    private static final int MAX_ANSWER_MILLIS = 400;
    /** An answer that began longer ago does not accuse the parts of its prompt. */
    private static final int ACCUSED_MILLIS = 100;

    /** Time after its start until which an entry hears only some of the others. */
    private static final int PARTIALLY_CONNECTED_MILLIS = 11_000;

    /** 60 sound requests a second. */
    private static final double SOUND_ARRIVALS_PER_STEP = 0.6;

    /** 2.5 requests a second for each fatal part. */
    private static final double FATAL_ARRIVALS_PER_STEP = 0.025;

    /** Time within which all entries know of a termination. */
    private static final int CONTACT_MILLIS = 3000;

    private static final int TERMINATIONS_KNOWN = 5;

    /** Fewer requests say too little. */
    private static final int MIN_JUDGED = 20;

    /** Numbers of different parts at each place of a prompt; the later, the rarer. */
    private static final int[] PARTS_BY_PLACE = {4, 20, 300};

    private final FleetFaults faults;
    private final Random random;
    private final List<SuspectDigest> fatalParts = new ArrayList<>();
    private final Map<SuspectDigest, List<Integer>> terminations = new HashMap<>();
    private final Map<SuspectDigest, List<Integer>> arrivals = new HashMap<>();
    private final Map<SuspectDigest, StoredTerminations> stored = new HashMap<>();
    private final List<Entry> entries = new ArrayList<>();
    private final List<Engine> engines = new ArrayList<>();
    private final List<Work> prefills = new ArrayList<>();
    private final List<Outcome> sharingFirstPart = new ArrayList<>();
    private int nowMillis;
    private int requests;
    private int soundSent;
    private int soundRefused;

    PromptPartSimulation(int entryCount, int fatalPartCount, FleetFaults faults, long seed) {
        this.faults = faults;
        this.random = new Random(seed);
        for (int number = 0; number < entryCount; number++) {
            entries.add(new Entry("entry-" + number, -PARTIALLY_CONNECTED_MILLIS));
        }
        for (int number = 0; number < ENGINES; number++) {
            engines.add(new Engine("engine-" + number));
        }
        for (int number = 0; number < fatalPartCount; number++) {
            SuspectDigest part = new SuspectDigest(number, -1);
            fatalParts.add(part);
            terminations.put(part, new ArrayList<>());
            arrivals.put(part, new ArrayList<>());
        }
    }

    void run() {
        for (nowMillis = 0; nowMillis < LENGTH_MILLIS; nowMillis += STEP_MILLIS) {
            injectFaults();
            engines.forEach(this::advance);
            handOff();
            generateArrivals();
            if (nowMillis % REPORT_INTERVAL_MILLIS == 0) {
                report();
            }
        }
    }

    int terminations() {
        return terminations.values().stream().mapToInt(List::size).sum();
    }

    /** Returns how many requests with one fatal part were sent later than all entries could know of five terminations. */
    int maxLateArrivals() {
        return fatalParts.stream().mapToInt(this::lateArrivals).max().orElse(0);
    }

    /** Returns the fraction of sound requests that were refused although no part of them terminates engines. */
    double refusedFraction() {
        return (double) soundRefused / soundSent;
    }

    /**
     * Returns how often sound requests with the first part of fatal ones begin once all entries can know, compared with
     * the time before the first fatal request; 1 if there are too few to judge.
     */
    double servedComparedWithCalm() {
        List<Outcome> settled = sharingFirstPart(settledFromMillis(), LENGTH_MILLIS - CONTACT_MILLIS);
        return settled.size() < MIN_JUDGED
                ? 1
                : begunFraction(settled) / begunFraction(sharingFirstPart(0, FATAL_FROM_MILLIS));
    }

    private int lateArrivals(SuspectDigest part) {
        List<Integer> known = terminations.get(part);
        if (known.size() < TERMINATIONS_KNOWN) {
            return 0;
        }
        int knownFrom = known.get(TERMINATIONS_KNOWN - 1) + CONTACT_MILLIS;
        return (int) arrivals.get(part).stream().filter(at -> at > knownFrom).count();
    }

    private int settledFromMillis() {
        return 2 * CONTACT_MILLIS
                + terminations.values().stream()
                        .filter(known -> !known.isEmpty())
                        .mapToInt(known -> known.get(Math.min(known.size(), TERMINATIONS_KNOWN) - 1))
                        .max()
                        .orElse(0);
    }

    private List<Outcome> sharingFirstPart(int from, int until) {
        return sharingFirstPart.stream()
                .filter(outcome -> outcome.sentAt >= from && outcome.sentAt < until)
                .toList();
    }

    private static double begunFraction(List<Outcome> outcomes) {
        return (double) outcomes.stream().filter(outcome -> outcome.begun).count() / outcomes.size();
    }

    private void generateArrivals() {
        if (random.nextDouble() < SOUND_ARRIVALS_PER_STEP) {
            List<SuspectDigest> parts = soundParts();
            soundSent++;
            Outcome outcome = new Outcome(nowMillis);
            if (parts.getFirst().equals(sharedFirstPart())) {
                sharingFirstPart.add(outcome);
            }
            arrive(parts, outcome);
        }
        for (SuspectDigest fatalPart : fatalParts) {
            if (nowMillis >= FATAL_FROM_MILLIS && random.nextDouble() < FATAL_ARRIVALS_PER_STEP) {
                List<SuspectDigest> parts = soundParts();
                parts.set(0, sharedFirstPart());
                parts.set(1 + random.nextInt(2), fatalPart);
                arrive(parts, new Outcome(nowMillis));
            }
        }
    }

    private static SuspectDigest sharedFirstPart() {
        return new SuspectDigest(0, 0);
    }

    private List<SuspectDigest> soundParts() {
        List<SuspectDigest> parts = new ArrayList<>();
        for (int place = 0; place < PARTS_BY_PLACE.length; place++) {
            parts.add(new SuspectDigest(place, random.nextInt(PARTS_BY_PLACE[place])));
        }
        return parts;
    }

    private void arrive(List<SuspectDigest> parts, Outcome outcome) {
        Entry entry = entries.get(random.nextInt(entries.size()));
        Work work = new Work("request-" + requests++, parts, entry, outcome);
        if (refused(work)) {
            return;
        }
        parts.stream()
                .filter(arrivals::containsKey)
                .forEach(part -> arrivals.get(part).add(nowMillis));
        work.dueAt = nowMillis + random.nextInt(MAX_PREFILL_MILLIS);
        prefills.add(work);
    }

    private boolean refused(Work work) {
        Set<SuspectDigest> trials = new HashSet<>();
        for (SuspectDigest part : work.parts) {
            switch (work.entry.quarantine.decide(part, work.requestId, nowNanos())) {
                case QuarantineDecision.Clear clear -> {}
                case QuarantineDecision.Suspected suspected -> {
                    if (suspected.trialOnly()) {
                        trials.add(part);
                    }
                }
                case QuarantineDecision.Quarantined quarantined -> {
                    soundRefused += isFatal(work) ? 0 : 1;
                    return true;
                }
            }
        }
        trials.forEach(part -> work.entry.quarantine.beginTrial(part, work.requestId, nowNanos()));
        return false;
    }

    private boolean isFatal(Work work) {
        return work.parts.stream().anyMatch(fatalParts::contains);
    }

    private void handOff() {
        List<Work> due =
                prefills.stream().filter(work -> work.dueAt <= nowMillis).toList();
        prefills.removeAll(due);
        List<Engine> running = engines.stream()
                .filter(engine -> engine.runningFrom <= nowMillis)
                .toList();
        for (Work work : due) {
            if (running.isEmpty() || !entries.contains(work.entry) || refused(work)) {
                continue;
            }
            work.beginsAt = nowMillis + STEP_MILLIS + random.nextInt(MAX_BEGINNING_MILLIS);
            work.dueAt = work.beginsAt + random.nextInt(MAX_ANSWER_MILLIS);
            running.get(random.nextInt(running.size())).runs.add(work);
        }
    }

    private void advance(Engine engine) {
        for (Work work : List.copyOf(engine.runs)) {
            if (work.beginsAt > nowMillis) {
                continue;
            }
            if (isFatal(work)) {
                work.parts.stream()
                        .filter(terminations::containsKey)
                        .forEach(part -> terminations.get(part).add(nowMillis));
                terminate(engine);
                return;
            }
            work.outcome.begun = true;
            if (work.dueAt <= nowMillis) {
                engine.runs.remove(work);
                work.entry.answered(work.parts);
            }
        }
    }

    private void terminate(Engine engine) {
        ServerIncarnation incarnation = new ServerIncarnation(engine.name, engine.runningFrom);
        engine.runs.stream()
                .filter(work -> work.beginsAt + ACCUSED_MILLIS > nowMillis)
                .forEach(work -> work.entry.serverTerminated(work.parts, incarnation));
        engine.runs.clear();
        engine.runningFrom = nowMillis + ENGINE_RESTART_MILLIS;
    }

    private void injectFaults() {
        if (due(faults.restartOneMilliseconds())) {
            restart(random.nextInt(entries.size()));
        }
        if (due(faults.restartAllMilliseconds())) {
            for (int index = 0; index < entries.size(); index++) {
                restart(index);
            }
        }
        if (due(faults.terminateServerMilliseconds())) {
            terminate(engines.get(random.nextInt(ENGINES)));
        }
    }

    private void restart(int index) {
        entries.set(index, new Entry(entries.get(index).name, nowMillis));
    }

    private boolean due(int intervalMillis) {
        return intervalMillis > 0 && nowMillis > 0 && nowMillis % intervalMillis == 0;
    }

    private void report() {
        for (Entry sender : entries) {
            List<ServerTermination> reported = sender.quarantine.takeNextReport(nowNanos());
            for (Entry receiver : entries) {
                if (receiver != sender && random.nextDouble() >= faults.lostFraction()) {
                    receiver.hear(reported);
                }
            }
        }
    }

    private long nowNanos() {
        return TimeUnit.MILLISECONDS.toNanos(nowMillis);
    }

    private final class Entry {
        private final String name;
        private final int startedAt;
        private final Quarantine quarantine;

        Entry(String name, int startedAt) {
            this.name = name;
            this.startedAt = startedAt;
            this.quarantine = new Quarantine(
                    new RankedTrialTurns(name, () -> Optional.of(heard())), TimeUnit.MILLISECONDS.toNanos(startedAt));
            stored.values().forEach(known -> hear(known.agedUntil(nowMillis)));
        }

        /** An entry that has just started hears every second one of the others. */
        private Set<String> heard() {
            boolean connected = nowMillis - startedAt >= PARTIALLY_CONNECTED_MILLIS;
            return entries.stream()
                    .map(entry -> entry.name)
                    .filter(other -> connected || Math.floorMod(other.hashCode() + name.hashCode(), 2) == 0)
                    .collect(Collectors.toSet());
        }

        void hear(List<ServerTermination> reported) {
            for (ServerTermination termination : reported) {
                if (quarantine.terminationReported(termination, nowNanos())) {
                    store(termination.suspect());
                }
            }
        }

        void serverTerminated(List<SuspectDigest> parts, ServerIncarnation incarnation) {
            for (SuspectDigest part : parts) {
                if (quarantine.serverTerminatedOnPart(part, incarnation, nowNanos())) {
                    store(part);
                }
            }
        }

        void answered(List<SuspectDigest> parts) {
            for (SuspectDigest part : parts) {
                if (quarantine.partAnswered(part, nowNanos())) {
                    store(part);
                }
            }
        }

        private void store(SuspectDigest part) {
            if (quarantine.suspectsWithMultipleTerminations().contains(part)) {
                stored.put(part, new StoredTerminations(quarantine.terminations(part, nowNanos()), nowMillis));
            }
        }
    }

    private record StoredTerminations(List<ServerTermination> terminations, int storedAt) {
        List<ServerTermination> agedUntil(int now) {
            return terminations.stream()
                    .map(termination -> new ServerTermination(
                            termination.suspect(),
                            termination.incarnation(),
                            termination.age().plusMillis(now - storedAt),
                            termination.cleared()))
                    .toList();
        }
    }

    private static final class Engine {
        private final String name;
        private final List<Work> runs = new ArrayList<>();
        private int runningFrom;

        Engine(String name) {
            this.name = name;
        }
    }

    private static final class Work {
        private final String requestId;
        private final List<SuspectDigest> parts;
        private final Entry entry;
        private final Outcome outcome;
        private int beginsAt;
        private int dueAt;

        Work(String requestId, List<SuspectDigest> parts, Entry entry, Outcome outcome) {
            this.requestId = requestId;
            this.parts = parts;
            this.entry = entry;
            this.outcome = outcome;
        }
    }

    private static final class Outcome {
        private final int sentAt;
        private boolean begun;

        Outcome(int sentAt) {
            this.sentAt = sentAt;
        }
    }
}
