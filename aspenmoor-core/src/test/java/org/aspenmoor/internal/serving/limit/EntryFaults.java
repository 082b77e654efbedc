package org.aspenmoor.internal.serving.limit;

import java.util.Set;

/**
 * The entries of a simulation that end and start again, are suspended for two seconds, or are new.
 *
 * @param killed entries that are killed at the same moment
 * @param suspended entries that are suspended at the same moment
 * @param added entries that start at that moment for the first time
 * @param at when, in nanoseconds
 * @param restartsInTurn whether all entries are restarted one after the other from then on
 * @param firstStart whether no entry has been registered when the simulation begins
 */
record EntryFaults(
        Set<Integer> killed,
        Set<Integer> suspended,
        Set<Integer> added,
        long at,
        boolean restartsInTurn,
        boolean firstStart) {
    private static final long AT = 15 * LimitSimulation.SECOND;

    static final EntryFaults NONE = of(Set.of(), Set.of());

    static EntryFaults of(Set<Integer> killed, Set<Integer> suspended) {
        return new EntryFaults(killed, suspended, Set.of(), AT, false, false);
    }

    static EntryFaults rollingRestart() {
        return new EntryFaults(Set.of(), Set.of(), Set.of(), AT, true, false);
    }

    static EntryFaults added(Set<Integer> entries) {
        return new EntryFaults(Set.of(), Set.of(), entries, AT, false, false);
    }

    static EntryFaults startOfAll() {
        return new EntryFaults(Set.of(), Set.of(), Set.of(), AT, false, true);
    }
}
