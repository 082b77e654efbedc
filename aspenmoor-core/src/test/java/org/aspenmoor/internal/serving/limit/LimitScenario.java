package org.aspenmoor.internal.serving.limit;

import java.util.Set;

/**
 * A load on plain servers, some of which state a limit for a while. Times are in nanoseconds.
 *
 * @param entries number of entries
 * @param servers number of servers
 * @param limited ids of the servers that state the limit
 * @param limit the limit, in requests per second
 * @param limitFrom when the limit begins
 * @param limitUntil when it ends
 * @param until end of the simulation
 * @param callersPerSecond callers at all entries together
 * @param skew how unevenly callers are spread over the entries: 1 is evenly, a high number is all at the first
 * @param lostReports part of the reports among entries that get lost, and as many of the others are late
 * @param killed entries that are killed and start again two seconds later
 * @param suspended entries that are suspended for two seconds
 * @param faultAt when entries are killed and suspended
 */
record LimitScenario(
        int entries,
        int servers,
        Set<String> limited,
        double limit,
        long limitFrom,
        long limitUntil,
        long until,
        double callersPerSecond,
        double skew,
        double lostReports,
        Set<Integer> killed,
        Set<Integer> suspended,
        long faultAt) {
    private static final long SECOND = LimitSimulation.SECOND;

    /** Returns a scenario in which one of six servers states a limit from the fifth to the thirtieth second. */
    static LimitScenario oneLimitedServer(int entries, double limit) {
        return new LimitScenario(
                entries,
                6,
                Set.of(LimitSimulation.serverId(0)),
                limit,
                5 * SECOND,
                30 * SECOND,
                42 * SECOND,
                90,
                1,
                0,
                Set.of(),
                Set.of(),
                15 * SECOND);
    }

    LimitScenario withLostReports(double part) {
        return new LimitScenario(
                entries,
                servers,
                limited,
                limit,
                limitFrom,
                limitUntil,
                until,
                callersPerSecond,
                skew,
                part,
                killed,
                suspended,
                faultAt);
    }

    LimitScenario withCallers(double perSecond, double newSkew) {
        return new LimitScenario(
                entries,
                servers,
                limited,
                limit,
                limitFrom,
                limitUntil,
                until,
                perSecond,
                newSkew,
                lostReports,
                killed,
                suspended,
                faultAt);
    }

    LimitScenario withLimited(Set<String> newLimited) {
        return new LimitScenario(
                entries,
                servers,
                newLimited,
                limit,
                limitFrom,
                limitUntil,
                until,
                callersPerSecond,
                skew,
                lostReports,
                killed,
                suspended,
                faultAt);
    }

    LimitScenario withFaults(Set<Integer> newKilled, Set<Integer> newSuspended) {
        return new LimitScenario(
                entries,
                servers,
                limited,
                limit,
                limitFrom,
                limitUntil,
                until,
                callersPerSecond,
                skew,
                lostReports,
                newKilled,
                newSuspended,
                faultAt);
    }

    /** Returns how many requests a server may get in four seconds from the entries that it has told. */
    double allowedInFourSeconds() {
        return 1.5 * 4 * limit + 5;
    }
}
