package org.aspenmoor.internal.bench.policy.report;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import org.aspenmoor.internal.bench.policy.run.RunResult;

/** Prints the ratios between aspenmoor and the other policies, compared seed by seed: mean, minimum and maximum. */
public final class ComparisonReport {
    private static final String ASPENMOOR = "aspenmoor";

    private final PrintStream out;

    public ComparisonReport(PrintStream out) {
        this.out = out;
    }

    /** Prints one line for each fleet and trace. */
    public void print(List<NamedResult> results) {
        out.printf(
                "%-28s %-22s %-22s %-22s %-22s %-18s %-16s%n",
                "house and trace",
                "goodput/clairvoyant",
                "goodput/best pair",
                "goodput/best fixed",
                "goodput/threshold",
                "changes own:clv:thr",
                "p95/least-load");
        Set<String> traces = new LinkedHashSet<>();
        results.forEach(result -> traces.add(result.fleet() + " " + result.trace()));
        for (String trace : traces) {
            List<NamedResult> traceResults = results.stream()
                    .filter(result -> trace.equals(result.fleet() + " " + result.trace()))
                    .toList();
            out.printf(
                    "%-28s %-22s %-22s %-22s %-22s %-18s %-16s%n",
                    trace,
                    goodputRatios(traceResults, "clairvoyant"),
                    goodputRatios(traceResults, "best-fixed-pair"),
                    goodputRatios(traceResults, "best-fixed"),
                    goodputRatios(traceResults, "threshold"),
                    meanRoleChanges(traceResults, ASPENMOOR) + ":" + meanRoleChanges(traceResults, "clairvoyant") + ":"
                            + meanRoleChanges(traceResults, "threshold"),
                    firstTokenRatios(traceResults));
        }
    }

    private static String goodputRatios(List<NamedResult> results, String other) {
        return ratios(results, other, true);
    }

    private static String firstTokenRatios(List<NamedResult> results) {
        return ratios(results, "least-reported-load", false);
    }

    private static String ratios(List<NamedResult> results, String other, boolean goodput) {
        List<Double> ratios = new ArrayList<>();
        for (NamedResult result : results) {
            if (!result.result().policy().equals(ASPENMOOR)) {
                continue;
            }
            Optional<RunResult> otherRun = results.stream()
                    .filter(candidate -> candidate.seed() == result.seed())
                    .map(NamedResult::result)
                    .filter(run -> run.policy().equals(other))
                    .findFirst();
            otherRun.ifPresent(run -> ratios.add(
                    goodput
                            ? result.result().weightedGoodput() / run.weightedGoodput()
                            : result.result().firstTokenP95Seconds() / run.firstTokenP95Seconds()));
        }
        if (ratios.isEmpty()) {
            return "-";
        }
        double mean = ratios.stream().mapToDouble(Double::doubleValue).average().orElse(0);
        double min = ratios.stream().mapToDouble(Double::doubleValue).min().orElse(0);
        double max = ratios.stream().mapToDouble(Double::doubleValue).max().orElse(0);
        return String.format(Locale.ROOT, "%.3f (%.3f..%.3f)", mean, min, max);
    }

    private static String meanRoleChanges(List<NamedResult> results, String policy) {
        double mean = results.stream()
                .map(NamedResult::result)
                .filter(run -> run.policy().equals(policy))
                .mapToInt(RunResult::roleChanges)
                .average()
                .orElse(0);
        return String.format(Locale.ROOT, "%.1f", mean);
    }
}
