package org.aspenmoor.internal.serving.limit;

import java.util.Set;

/**
 * The entries of a simulation that end and start again, or are suspended, for two seconds each.
 *
 * @param killed entries that are killed at the same moment
 * @param suspended entries that are suspended at the same moment
 * @param at when, in nanoseconds
 * @param restartsInTurn whether all entries are restarted one after the other from then on
 */
record EntryFaults(Set<Integer> killed, Set<Integer> suspended, long at, boolean restartsInTurn) {
    static final EntryFaults NONE = new EntryFaults(Set.of(), Set.of(), 0, false);

    private static final long AT = 15 * LimitSimulation.SECOND;

    static EntryFaults of(Set<Integer> killed, Set<Integer> suspended) {
        return new EntryFaults(killed, suspended, AT, false);
    }

    static EntryFaults rollingRestart() {
        return new EntryFaults(Set.of(), Set.of(), AT, true);
    }
}
