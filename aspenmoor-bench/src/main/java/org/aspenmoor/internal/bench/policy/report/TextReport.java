package org.aspenmoor.internal.bench.policy.report;

import java.io.PrintStream;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.function.ToDoubleFunction;
import org.aspenmoor.internal.bench.policy.run.RunResult;

/** Prints a table for each trace: means over the seeds; the goodput also with minimum and maximum in brackets. */
public final class TextReport {
    private static final String FORMAT = "  %-20s %26s %8s %8s %6s %8s %9s %10s %9s %9s%n";

    private final PrintStream out;

    public TextReport(PrintStream out) {
        this.out = out;
    }

    /** Prints all results. */
    public void print(List<NamedResult> results) {
        Set<String> traces = new LinkedHashSet<>();
        results.forEach(result -> traces.add(result.fleet() + " " + result.trace()));
        for (String trace : traces) {
            printTrace(
                    trace,
                    results.stream()
                            .filter(result -> trace.equals(result.fleet() + " " + result.trace()))
                            .toList());
        }
    }

    private void printTrace(String trace, List<NamedResult> results) {
        out.println(trace);
        out.printf(
                FORMAT,
                "policy",
                "goodput share",
                "done",
                "refused",
                "late",
                "changes",
                "away s",
                "first p95",
                "heaviest",
                "refusal");
        Set<String> policies = new LinkedHashSet<>();
        results.forEach(result -> policies.add(result.result().policy()));
        for (String policy : policies) {
            List<RunResult> runs = results.stream()
                    .map(NamedResult::result)
                    .filter(run -> run.policy().equals(policy))
                    .toList();
            out.printf(
                    FORMAT,
                    policy,
                    meanAndRange(runs, run -> run.weightedGoodput() / run.offeredWeight()),
                    mean(runs, RunResult::completed, 0),
                    mean(runs, RunResult::refused, 0),
                    mean(runs, RunResult::late, 0),
                    mean(runs, RunResult::roleChanges, 1),
                    mean(runs, RunResult::engineSecondsAway, 0),
                    mean(runs, RunResult::firstTokenP95Seconds, 3),
                    mean(runs, RunResult::heaviestInTimeFraction, 3),
                    mean(runs, RunResult::slowestRefusalFraction, 2));
        }
    }

    private static String mean(List<RunResult> runs, ToDoubleFunction<RunResult> measure, int digits) {
        double mean = runs.stream().mapToDouble(measure).average().orElse(0);
        return String.format(Locale.ROOT, "%." + digits + "f", mean);
    }

    private static String meanAndRange(List<RunResult> runs, ToDoubleFunction<RunResult> measure) {
        double min = runs.stream().mapToDouble(measure).min().orElse(0);
        double max = runs.stream().mapToDouble(measure).max().orElse(0);
        return String.format(Locale.ROOT, "%s (%.3f..%.3f)", mean(runs, measure, 3), min, max);
    }
}
