package org.aspenmoor.internal.bench.soak;

import java.io.IOException;
import java.io.PrintStream;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.IntPredicate;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;

/** The program behind {@code bin/soak}. */
public final class Soak {
    private static final int EXIT_WHOLE = 0;
    private static final int EXIT_VIOLATION = 1;
    private static final int EXIT_USAGE = 2;

    private final PrintStream out;
    private final OptionParser parser = new OptionParser();
    private final OptionSpec<Long> seed = parser.accepts("seed", "the first seed")
            .withRequiredArg()
            .ofType(Long.class)
            .defaultsTo(1L);
    private final OptionSpec<Long> steps = parser.accepts("steps", "steps of each run")
            .withRequiredArg()
            .ofType(Long.class)
            .defaultsTo(20_000L);
    private final OptionSpec<Integer> runs = parser.accepts("runs", "how many runs, with seeds counted up")
            .withRequiredArg()
            .ofType(Integer.class)
            .defaultsTo(1);
    private final OptionSpec<String> houses =
            parser.accepts("houses", "one or both").withRequiredArg().defaultsTo("both");
    private final OptionSpec<Integer> keep = parser.accepts("keep", "only these faults of the schedule, by number")
            .withRequiredArg()
            .ofType(Integer.class)
            .withValuesSeparatedBy(',');
    private final OptionSpec<Integer> shorten = parser.accepts(
                    "shorten", "how many runs may look for a shorter schedule")
            .withRequiredArg()
            .ofType(Integer.class)
            .defaultsTo(400);
    private final OptionSpec<Void> help =
            parser.accepts("help", "prints this page").forHelp();

    private Soak(PrintStream out) {
        this.out = out;
    }

    /** Runs the soak; exits with 1 where a promise was broken. */
    public static void main(String[] arguments) throws IOException {
        System.exit(new Soak(System.out).run(arguments));
    }

    private int run(String[] arguments) throws IOException {
        try {
            OptionSet options = parser.parse(arguments);
            if (options.has(help)) {
                parser.printHelpOn(out);
                return EXIT_WHOLE;
            }
            return soak(options);
        } catch (OptionException wrong) {
            out.println(wrong.getMessage());
            parser.printHelpOn(out);
            return EXIT_USAGE;
        }
    }

    private int soak(OptionSet options) {
        List<String> teams =
                options.valueOf(houses).equals("both") ? SoakRun.BOTH_HOUSES : SoakRun.BOTH_HOUSES.subList(0, 1);
        SoakRun run = new SoakRun(teams);
        SoakReport report = new SoakReport(out);
        IntPredicate kept = keptFaults(options);
        long firstSeed = options.valueOf(seed);
        for (long next = firstSeed; next < firstSeed + options.valueOf(runs); next++) {
            SoakResult result = run.run(next, options.valueOf(steps), kept);
            report.add(result);
            if (result.violation().isPresent()) {
                report.print();
                printFailure(run, result, options.valueOf(shorten));
                return EXIT_VIOLATION;
            }
        }
        report.print();
        out.println("no promise was broken");
        return EXIT_WHOLE;
    }

    private IntPredicate keptFaults(OptionSet options) {
        if (!options.has(keep)) {
            return index -> true;
        }
        Set<Integer> indexes = new TreeSet<>(options.valuesOf(keep));
        return indexes::contains;
    }

    private void printFailure(SoakRun run, SoakResult failed, int mostRuns) {
        out.printf(
                "%nseed %d broke a promise at step %d:%n  %s%n",
                failed.seed(), failed.steps(), failed.violation().orElseThrow());
        SoakResult shortest = new ScheduleShortener(run, mostRuns).shorten(failed);
        out.printf(
                "shortest known schedule: %d faults, broken at step %d:%n  %s%n",
                shortest.drawn().size(), shortest.steps(), shortest.violation().orElseThrow());
        shortest.drawn().forEach(fault -> out.println("  " + fault));
        List<String> indexes = shortest.drawn().stream()
                .map(fault -> String.valueOf(fault.index()))
                .toList();
        out.printf(
                "again: bin/soak --seed %d --steps %d --keep %s%n",
                failed.seed(), failed.steps(), indexes.isEmpty() ? "-1" : String.join(",", indexes));
    }
}
