package org.aspenmoor.internal.bench.policy;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.stream.Collectors;
import org.aspenmoor.AspenmoorException;
import org.aspenmoor.internal.bench.policy.fleet.BuiltInFleets;
import org.aspenmoor.internal.bench.policy.fleet.Fleet;
import org.aspenmoor.internal.bench.policy.fleet.FleetReader;
import org.aspenmoor.internal.bench.policy.fleet.ParameterMove;
import org.aspenmoor.internal.bench.policy.report.AimReport;
import org.aspenmoor.internal.bench.policy.report.JsonReport;
import org.aspenmoor.internal.bench.policy.report.NamedResult;
import org.aspenmoor.internal.bench.policy.report.TextReport;
import org.aspenmoor.internal.bench.policy.report.TimelinePlot;
import org.aspenmoor.internal.bench.policy.trace.BuiltInTrace;
import org.aspenmoor.internal.bench.policy.trace.Trace;
import org.aspenmoor.internal.bench.policy.trace.TraceGenerator;
import org.aspenmoor.internal.bench.policy.trace.TraceReader;

/** The command line of the policy bench. */
public final class PolicyBenchMain {
    private static final int MOST_THREADS = 3;

    private final BenchOptions options;
    private final PrintStream out;

    private PolicyBenchMain(BenchOptions options, PrintStream out) {
        this.options = options;
        this.out = out;
    }

    /** Runs the bench; the exit code is 2 where an argument or a file is wrong. */
    public static void main(String[] arguments) {
        try {
            new PolicyBenchMain(BenchOptions.parse(arguments), System.out).run();
        } catch (AspenmoorException wrong) {
            System.err.println(wrong.getMessage());
            System.exit(2);
        }
    }

    private void run() throws AspenmoorException {
        List<NamedResult> results = new ArrayList<>();
        for (Fleet fleet : fleets()) {
            results.addAll(runFleet(fleet));
        }
        new TextReport(out).print(results);
        new AimReport(out).print(results);
        if (options.json().isPresent()) {
            JsonReport.write(options.json().get(), results);
        }
        if (options.plot().isPresent()) {
            TimelinePlot.write(options.plot().get(), firstRunOf(results));
        }
    }

    private List<Fleet> fleets() throws AspenmoorException {
        List<Fleet> fleets = new ArrayList<>();
        for (String house : options.houses()) {
            Fleet fleet = switch (house) {
                case "seitkali" -> BuiltInFleets.seitkali();
                case "hojas" -> BuiltInFleets.hojas();
                default -> new FleetReader().read(Path.of(house));
            };
            ParameterMove move = options.move();
            fleets.add(fleet.withParameters(fleet.parameters().moved(move)));
        }
        return fleets;
    }

    private List<NamedResult> runFleet(Fleet fleet) throws AspenmoorException {
        List<Future<List<NamedResult>>> running = new ArrayList<>();
        try (ExecutorService threads = Executors.newFixedThreadPool(MOST_THREADS)) {
            for (String name : options.traces()) {
                for (long seed = options.seed(); seed < options.seed() + options.seeds(); seed++) {
                    Trace trace = trace(fleet, name, seed);
                    long runSeed = seed;
                    running.add(threads.submit(() -> runTrace(fleet, trace, runSeed)));
                }
            }
            List<NamedResult> results = new ArrayList<>();
            for (Future<List<NamedResult>> run : running) {
                results.addAll(run.get());
            }
            return results;
        } catch (InterruptedException | ExecutionException failed) {
            throw new AspenmoorException(
                    "A run of the bench failed: " + failed.getMessage() + ".",
                    fleet.house(),
                    "This is a fault of the bench; report it with the arguments used.",
                    failed);
        }
    }

    private List<NamedResult> runTrace(Fleet fleet, Trace trace, long seed) {
        PolicyRunner runner = new PolicyRunner(fleet, trace, seed);
        List<NamedResult> results = new ArrayList<>();
        for (PolicyName policy : options.policies()) {
            results.add(new NamedResult(fleet.house(), trace.name(), seed, runner.run(policy)));
        }
        return results;
    }

    private static Trace trace(Fleet fleet, String name, long seed) throws AspenmoorException {
        if (BuiltInTrace.find(name).isPresent()) {
            return new TraceGenerator(fleet, new SplittableRandom(seed))
                    .generate(BuiltInTrace.find(name).get());
        }
        if (Path.of(name).toFile().exists()) {
            return new TraceReader(fleet).read(Path.of(name));
        }
        throw new AspenmoorException(
                "There is no trace \"" + name + "\".",
                "--trace",
                "Name a file, \"all\", or one of "
                        + Arrays.stream(BuiltInTrace.values())
                                .map(BuiltInTrace::label)
                                .collect(Collectors.joining(", "))
                        + ".");
    }

    private static List<NamedResult> firstRunOf(List<NamedResult> results) {
        NamedResult first = results.getFirst();
        return results.stream()
                .filter(result -> result.house().equals(first.house())
                        && result.trace().equals(first.trace())
                        && result.seed() == first.seed())
                .toList();
    }
}
