package org.aspenmoor.internal.bench.replay.report;

import java.io.PrintStream;
import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;
import org.aspenmoor.internal.bench.replay.run.DayResult;
import org.aspenmoor.internal.bench.replay.run.KindResult;

/** Prints the results of replayed days as means over the seeds: a line per day and a line per request kind. */
public final class ReplayTable {
    private final PrintStream out;

    public ReplayTable(PrintStream out) {
        this.out = out;
    }

    /** Prints the table heading. */
    public void heading() {
        out.printf("%-34s %6s %6s %6s %6s %6s %8s%n", "day", "earned", "served", "nines", "window", "kind", "refused");
    }

    /** Prints the line of one day, given its results for all seeds. */
    public void print(String label, List<DayResult> results) {
        out.printf(
                Locale.ROOT,
                "%-34s %6.3f %6.3f %6.3f %6.3f %6.3f %7.2fs%n",
                label,
                mean(results, DayResult::earnedFraction),
                mean(results, DayResult::servedFraction),
                mean(results, DayResult::availabilityScore),
                mean(results, DayResult::worstWindowsFraction),
                mean(results, DayResult::worstKindFraction),
                mean(results, DayResult::medianRefusalSeconds));
    }

    /** Prints a line for each request kind of one day. */
    public void printKinds(List<DayResult> results) {
        for (int index = 0; index < results.getFirst().kinds().size(); index++) {
            int kind = index;
            out.printf(
                    Locale.ROOT,
                    "    %-22s asked %6.0f earned %.3f on time %.3f served %.3f refused %.3f failed %.3f largest %.3f%n",
                    results.getFirst().kinds().get(kind).kind(),
                    mean(results, result -> result.kinds().get(kind).callers()),
                    kindMean(results, kind, KindResult::earnedFraction),
                    kindMean(results, kind, KindResult::onTimeFraction),
                    kindMean(results, kind, KindResult::servedFraction),
                    kindMean(results, kind, KindResult::refusedFraction),
                    kindMean(results, kind, KindResult::failedFraction),
                    kindMean(results, kind, KindResult::largestServedFraction));
        }
    }

    private static double kindMean(List<DayResult> results, int kind, ToDoubleFunction<KindResult> value) {
        return mean(results, result -> value.applyAsDouble(result.kinds().get(kind)));
    }

    private static double mean(List<DayResult> results, ToDoubleFunction<DayResult> value) {
        return results.stream().mapToDouble(value).average().orElse(0);
    }
}
