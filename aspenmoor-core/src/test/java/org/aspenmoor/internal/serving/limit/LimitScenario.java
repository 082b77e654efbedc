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
 * @param load the callers, and how long their answers take
 * @param hearing which reports among entries arrive
 * @param faults which entries end and are suspended
 */
record LimitScenario(
        int entries,
        int servers,
        Set<String> limited,
        double limit,
        long limitFrom,
        long limitUntil,
        long until,
        LimitLoad load,
        Hearing hearing,
        EntryFaults faults) {
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
                LimitLoad.evenly(90),
                Hearing.ALL,
                EntryFaults.NONE);
    }

    LimitScenario withHearing(Hearing newHearing) {
        return new LimitScenario(
                entries, servers, limited, limit, limitFrom, limitUntil, until, load, newHearing, faults);
    }

    LimitScenario withLoad(LimitLoad newLoad) {
        return new LimitScenario(
                entries, servers, limited, limit, limitFrom, limitUntil, until, newLoad, hearing, faults);
    }

    LimitScenario withLimited(Set<String> newLimited) {
        return new LimitScenario(
                entries, servers, newLimited, limit, limitFrom, limitUntil, until, load, hearing, faults);
    }

    LimitScenario withFaults(EntryFaults newFaults) {
        return new LimitScenario(
                entries, servers, limited, limit, limitFrom, limitUntil, until, load, hearing, newFaults);
    }

    /** Returns how many requests a server may get in four seconds from the entries that it has told. */
    double allowedInFourSeconds() {
        return 1.5 * 4 * limit + 5;
    }
}
