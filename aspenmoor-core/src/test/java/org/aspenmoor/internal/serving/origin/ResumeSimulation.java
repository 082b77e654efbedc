package org.aspenmoor.internal.serving.origin;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import java.util.function.Predicate;
import org.aspenmoor.internal.serving.SimulatedTime;
import org.aspenmoor.internal.serving.SoftwareVersion;

/**
 * Entries whose callers take streams up again at any entry, while engines of several software versions serve. Entries talk
 * by messages that get lost and late, see changes of the servers late, and are killed, restarted, cut off and suspended.
 * Seeded, with a manual clock; times are in nanoseconds.
 */
final class ResumeSimulation {
    private static final long MILLISECOND = Duration.ofMillis(1).toNanos();
    private static final long SECOND = ResumeScenario.SECOND;
    private static final double STREAMS_PER_SECOND = 35;

    private final ResumeScenario scenario;
    private final SplittableRandom random;
    private final SimulatedTime time = new SimulatedTime(SECOND);
    private final Map<String, ResumeEntry> entries = new LinkedHashMap<>();
    private final List<ResumeEngine> engines = new ArrayList<>();
    private final List<ResumeCaller> callers = new ArrayList<>();
    private final ResumeStore store = new ResumeStore(this);
    private boolean storeAway;
    private boolean statementsAway;
    private int messages;

    ResumeSimulation(ResumeScenario scenario, long seed) {
        this.scenario = scenario;
        this.random = new SplittableRandom(seed);
        scenario.versions().forEach(this::startEngine);
        for (int index = 0; index < scenario.entries(); index++) {
            entries.put("entry-" + index, new ResumeEntry(this, "entry-" + index));
        }
    }

    ResumeSimulation run() {
        entries.values().forEach(ResumeEntry::start);
        scenario.faults().forEach(fault -> time.at(SECOND + (long) (fault.atSecond() * SECOND), () -> apply(fault)));
        time.at(time.now() + SECOND, this::scheduleStream);
        time.runUntil(SECOND + ResumeScenario.END);
        return this;
    }

    /** Returns the number of streams with events of more than one version. */
    long mixed() {
        return count(ResumeCaller::mixed);
    }

    /** Returns the part of the streams that begin. */
    double begunShare() {
        return (double) count(ResumeCaller::begun) / callers.size();
    }

    /** Returns how many streams were taken up at an entry in touch while two engines of their version served. */
    long takenUp() {
        return count(ResumeCaller::taken);
    }

    /** Returns the part of them that went on. */
    double goneOnShare() {
        return takenUp() == 0 ? 1 : (double) count(ResumeCaller::continued) / takenUp();
    }

    /** Returns how many streams were taken up after their entry was killed, while two engines of their version served. */
    long interrupted() {
        return count(ResumeCaller::interruptedTaken);
    }

    /** Returns the part of them that went on. */
    double interruptedGoneOnShare() {
        return interrupted() == 0 ? 1 : (double) count(ResumeCaller::interruptedContinued) / interrupted();
    }

    /** Returns the number of messages by which entries told and asked each other about streams. */
    int messages() {
        return messages;
    }

    private long count(Predicate<ResumeCaller> property) {
        return callers.stream().filter(property).count();
    }

    private void apply(ResumeScenario.Fault fault) {
        switch (fault) {
            case ResumeScenario.EntryKilled killed -> entry(killed.entry()).kill(SECOND);
            case ResumeScenario.EntriesKilled killed ->
                entries.values().stream().skip(killed.spared()).forEach(entry -> entry.kill(killed.downtime()));
            case ResumeScenario.EntryRestarted restarted -> {
                entry(restarted.entry()).tracker().handOver();
                entry(restarted.entry()).kill(SECOND);
            }
            case ResumeScenario.EntrySuspended suspended ->
                entry(suspended.entry()).suspend((long) (suspended.seconds() * SECOND));
            case ResumeScenario.EntryCut cut -> entry(cut.entry()).cut((long) (cut.seconds() * SECOND));
            case ResumeScenario.EntriesCut cut ->
                entries.values().stream()
                        .limit(cut.entries())
                        .forEach(entry -> entry.separate((long) (cut.seconds() * SECOND)));
            case ResumeScenario.StoreAway away -> {
                storeAway = true;
                time.at(time.now() + (long) (away.seconds() * SECOND), () -> storeAway = false);
            }
            case ResumeScenario.StatementsAway away -> {
                statementsAway = true;
                time.at(time.now() + (long) (away.seconds() * SECOND), () -> statementsAway = false);
            }
            case ResumeScenario.EngineGone gone -> engines.get(gone.engine()).leave();
            case ResumeScenario.EngineStarts started -> startEngine(started.version());
        }
    }

    private void startEngine(String version) {
        engines.add(new ResumeEngine(engines.size(), version));
    }

    private void scheduleStream() {
        ResumeCaller caller = new ResumeCaller(this, random, callers.size() + 1);
        callers.add(caller);
        caller.begin();
        double seconds = -Math.log(1 - random.nextDouble()) / STREAMS_PER_SECOND;
        time.at(time.now() + (long) (seconds * SECOND), this::scheduleStream);
    }

    SimulatedTime time() {
        return time;
    }

    /** Runs an action after a delay, whatever happens to processes. */
    void after(long delay, Runnable action) {
        time.at(time.now() + delay, action);
    }

    ResumeStore store() {
        return store;
    }

    List<ResumeEntry> entries() {
        return List.copyOf(entries.values());
    }

    ResumeEntry entry(String name) {
        return entries.get(name);
    }

    private ResumeEntry entry(int index) {
        return entry("entry-" + index);
    }

    List<ResumeEngine> engines() {
        return engines;
    }

    Duration listBound() {
        return scenario.listBound();
    }

    boolean storeAway() {
        return storeAway;
    }

    boolean statementsAway() {
        return statementsAway;
    }

    boolean callersReturnWhenRefused() {
        return scenario.callersReturnWhenRefused();
    }

    long engineCount(SoftwareVersion version) {
        return engines.stream()
                .filter(engine -> engine.alive() && engine.version().equals(version))
                .count();
    }

    void messageSent() {
        messages++;
    }

    /** Returns after what time a message arrives; empty if it gets lost. */
    OptionalLong messageDelay() {
        if (random.nextDouble() < scenario.lostMessages()) {
            return OptionalLong.empty();
        }
        boolean late = random.nextDouble() < scenario.lostMessages();
        return OptionalLong.of(
                MILLISECOND + (late ? random.nextLong(200 * MILLISECOND) : random.nextLong(MILLISECOND)));
    }
}
