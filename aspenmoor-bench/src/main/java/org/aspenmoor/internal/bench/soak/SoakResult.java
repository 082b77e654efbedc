package org.aspenmoor.internal.bench.soak;

import java.util.List;
import java.util.Optional;

/**
 * What one run has shown.
 *
 * @param seed the run's seed
 * @param steps how many steps were made
 * @param violation the first broken promise, if any
 * @param drawn the faults of the schedule
 * @param log the faults that happened
 * @param orders counts of plans and orders
 * @param calls counts of calls that may run once
 * @param streams counts of streams
 */
record SoakResult(
        long seed,
        long steps,
        Optional<String> violation,
        List<DrawnFault> drawn,
        FaultLog log,
        OrderWatch.Totals orders,
        CallLedger.Totals calls,
        StreamCounts.Totals streams) {
    SoakResult {
        drawn = List.copyOf(drawn);
    }
}
