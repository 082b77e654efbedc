package org.aspenmoor.internal.serving.origin;

import java.time.Duration;
import java.util.List;

/**
 * What happens to entries and engines while callers take up streams. Times are in nanoseconds from the start.
 *
 * @param entries number of entries
 * @param versions the software version of each engine that serves at the start
 * @param lostMessages part of the messages among entries that get lost, and as many of the others are late
 * @param callersReturnWhenRefused whether callers whose streams may not go on come back for as long as they wait
 * @param listBound for how long an entry that is cut off takes its list of servers for current, and how long entries wait
 *     before they begin streams at a new version
 * @param faults what happens, in any order
 */
record ResumeScenario(
        int entries,
        List<String> versions,
        double lostMessages,
        boolean callersReturnWhenRefused,
        Duration listBound,
        List<Fault> faults) {
    static final long SECOND = Duration.ofSeconds(1).toNanos();
    static final long END = 40 * SECOND;

    static ResumeScenario of(int entries, String... versions) {
        return new ResumeScenario(entries, List.of(versions), 0, false, Duration.ZERO, List.of());
    }

    ResumeScenario losing(double part) {
        return new ResumeScenario(entries, versions, part, callersReturnWhenRefused, listBound, faults);
    }

    ResumeScenario withCallersThatReturnWhenRefused() {
        return new ResumeScenario(entries, versions, lostMessages, true, listBound, faults);
    }

    ResumeScenario relyingOnListsFor(Duration bound) {
        return new ResumeScenario(entries, versions, lostMessages, callersReturnWhenRefused, bound, faults);
    }

    ResumeScenario with(Fault... newFaults) {
        return with(List.of(newFaults));
    }

    ResumeScenario with(List<Fault> newFaults) {
        return new ResumeScenario(entries, versions, lostMessages, callersReturnWhenRefused, listBound, newFaults);
    }

    /** Something that happens at a time, in seconds. */
    sealed interface Fault {
        double atSecond();
    }

    /** An entry is killed and starts again a second later. */
    record EntryKilled(double atSecond, int entry) implements Fault {}

    /**
     * All entries are killed at the same moment, and start again.
     *
     * @param spared how many of them go on
     * @param downtime how long it takes until they start
     */
    record EntriesKilled(double atSecond, int spared, long downtime) implements Fault {
        EntriesKilled(double atSecond) {
            this(atSecond, 0, SECOND);
        }
    }

    /** An entry stops after it was asked to, and starts again a second later. */
    record EntryRestarted(double atSecond, int entry) implements Fault {}

    /** An entry does nothing for some seconds. */
    record EntrySuspended(double atSecond, int entry, double seconds) implements Fault {}

    /** An entry reaches neither the other entries nor the store for some seconds. */
    record EntryCut(double atSecond, int entry, double seconds) implements Fault {}

    /** Some entries reach each other, but neither the other entries nor the store, for some seconds. */
    record EntriesCut(double atSecond, int entries, double seconds) implements Fault {}

    /** No entry reaches the store for some seconds. */
    record StoreAway(double atSecond, double seconds) implements Fault {}

    /** No entry can read or state software versions in the store for some seconds; it sees the servers. */
    record StatementsAway(double atSecond, double seconds) implements Fault {}

    /** An engine crashes or leaves, and the streams that it writes break. */
    record EngineGone(double atSecond, int engine) implements Fault {}

    /** An engine starts. */
    record EngineStarts(double atSecond, String version) implements Fault {}
}
