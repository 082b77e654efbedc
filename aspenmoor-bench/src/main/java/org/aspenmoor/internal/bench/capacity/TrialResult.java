package org.aspenmoor.internal.bench.capacity;

/**
 * What a trial showed.
 *
 * @param changes how many changes were made
 * @param medianSeconds from acceptance to the last reachable process in force, median over changes
 * @param mostSeconds the longest of these
 * @param recoverySeconds from the end of the fault to all processes equal; 0 where there was none
 * @param entry traffic of an entry that is no relay
 * @param relay traffic of a relay
 * @param agent traffic of an agent
 * @param mostInOneSecond most bytes that one process sent or received within one second
 * @param messages messages delivered in all
 */
record TrialResult(
        int changes,
        double medianSeconds,
        double mostSeconds,
        double recoverySeconds,
        TrialTraffic entry,
        TrialTraffic relay,
        TrialTraffic agent,
        double mostInOneSecond,
        long messages) {}
