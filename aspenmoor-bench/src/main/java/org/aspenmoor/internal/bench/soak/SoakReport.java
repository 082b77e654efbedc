package org.aspenmoor.internal.bench.soak;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;

/** Prints what a soak drew and counted. */
final class SoakReport {
    private final PrintStream out;
    private final FaultLog log = new FaultLog();
    private long runs;
    private long steps;
    private long plans;
    private long takeovers;
    private long ordersBegun;
    private long ordersRefused;
    private long begunBeyondWindow;
    private long refusedBeyondWindow;
    private long callsRan;
    private long callsRepeated;
    private long callsNotRun;
    private long callsUnknown;
    private long callsLost;
    private long streamsWhole;
    private long streamsResumed;
    private long streamsCut;
    private long framesDiscarded;

    SoakReport(PrintStream out) {
        this.out = out;
    }

    void add(SoakResult result) {
        runs++;
        steps += result.steps();
        log.add(result.log());
        plans += result.orders().plans();
        takeovers += result.orders().takeovers();
        ordersBegun += result.orders().begun();
        ordersRefused += result.orders().refused();
        begunBeyondWindow += result.orders().begunBeyondWindow();
        refusedBeyondWindow += result.orders().refusedBeyondWindow();
        callsRan += result.calls().ran();
        callsRepeated += result.calls().repeated();
        callsNotRun += result.calls().notRun();
        callsUnknown += result.calls().unknown();
        callsLost += result.calls().lost();
        streamsWhole += result.streams().whole();
        streamsResumed += result.streams().resumed();
        streamsCut += result.streams().cut();
        framesDiscarded += result.streams().discardedFrames();
    }

    /** Prints the tables; returns how many pairs of faults never happened. */
    int print() {
        out.printf("%d runs, %d steps%n", runs, steps);
        out.printf("plans published %d, leases taken over %d%n", plans, takeovers);
        out.printf(
                "orders begun %d, refused %d; later than the window: begun in conflict %d, refused %d%n",
                ordersBegun, ordersRefused, begunBeyondWindow, refusedBeyondWindow);
        out.printf(
                "calls ran %d, repeats answered from the record %d, not run %d, repeats unknown %d, lost %d%n",
                callsRan, callsRepeated, callsNotRun, callsUnknown, callsLost);
        out.printf(
                "streams whole %d, of these resumed %d, given up %d; frames discarded %d%n",
                streamsWhole, streamsResumed, streamsCut, framesDiscarded);
        out.printf("%n%-28s %9s %9s %9s  %s%n", "fault", "count", "twice", "rarest", "with");
        for (FaultKind kind : FaultKind.values()) {
            printRow(kind);
        }
        List<String> missing = missingPairs();
        int kinds = FaultKind.values().length;
        out.printf(
                "%npairs of faults within 60 steps: %d of %d happened%n",
                kinds * (kinds + 1) / 2 - missing.size(), kinds * (kinds + 1) / 2);
        missing.forEach(pair -> out.println("  never together: " + pair));
        return missing.size();
    }

    private void printRow(FaultKind kind) {
        FaultKind rarest = kind;
        for (FaultKind other : FaultKind.values()) {
            if (log.pair(kind, other) < log.pair(kind, rarest)) {
                rarest = other;
            }
        }
        out.printf(
                "%-28s %9d %9d %9d  %s%n", kind, log.count(kind), log.pair(kind, kind), log.pair(kind, rarest), rarest);
    }

    private List<String> missingPairs() {
        List<String> missing = new ArrayList<>();
        FaultKind[] kinds = FaultKind.values();
        for (int first = 0; first < kinds.length; first++) {
            for (int second = first; second < kinds.length; second++) {
                if (log.pair(kinds[first], kinds[second]) == 0) {
                    missing.add(kinds[first] + " and " + kinds[second]);
                }
            }
        }
        return missing;
    }
}
