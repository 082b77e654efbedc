package org.aspenmoor.internal.serving;

import java.time.Duration;
import java.util.Set;

/**
 * A load on plain servers, some of which turn requests away or are draining. Times are in nanoseconds.
 *
 * @param entries number of entries
 * @param callersPerSecond callers at all entries together
 * @param shedding indexes of the servers that turn all requests away for a while
 * @param pause the pause that they ask for
 * @param draining indexes of the servers that announce in their answers that they are draining
 * @param lostReports part of the reports among entries that get lost, and as many of the others are late
 * @param killed entries that are killed and start again two seconds later
 * @param suspended entries that are suspended for two seconds
 */
record StatementScenario(
        int entries,
        double callersPerSecond,
        Set<Integer> shedding,
        Duration pause,
        Set<Integer> draining,
        double lostReports,
        Set<Integer> killed,
        Set<Integer> suspended) {
    static final int SERVERS = 6;
    static final long STATED_FROM = 5 * StatementSimulation.SECOND;
    static final long STATED_UNTIL = 20 * StatementSimulation.SECOND;
    static final long FAULT_AT = 12 * StatementSimulation.SECOND;
    static final long END = 30 * StatementSimulation.SECOND;

    static StatementScenario quiet(int entries, double callersPerSecond) {
        return new StatementScenario(
                entries, callersPerSecond, Set.of(), Duration.ofSeconds(3), Set.of(), 0, Set.of(), Set.of());
    }

    StatementScenario withShedding(Set<Integer> servers, Duration newPause) {
        return new StatementScenario(
                entries, callersPerSecond, servers, newPause, draining, lostReports, killed, suspended);
    }

    StatementScenario withDraining(Set<Integer> servers) {
        return new StatementScenario(
                entries, callersPerSecond, shedding, pause, servers, lostReports, killed, suspended);
    }

    StatementScenario withFaults(double lost, Set<Integer> killedEntries, Set<Integer> suspendedEntries) {
        return new StatementScenario(
                entries, callersPerSecond, shedding, pause, draining, lost, killedEntries, suspendedEntries);
    }
}
