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
import org.aspenmoor.internal.bench.policy.fleet.ParameterVariation;
import org.aspenmoor.internal.bench.policy.report.ComparisonReport;
import org.aspenmoor.internal.bench.policy.report.JsonReport;
import org.aspenmoor.internal.bench.policy.report.NamedResult;
import org.aspenmoor.internal.bench.policy.report.TextReport;
import org.aspenmoor.internal.bench.policy.report.TimelinePlot;
import org.aspenmoor.internal.bench.policy.trace.BuiltInTrace;
import org.aspenmoor.internal.bench.policy.trace.Trace;
import org.aspenmoor.internal.bench.policy.trace.TraceGenerator;
import org.aspenmoor.internal.bench.policy.trace.TraceReader;

/** Command line of the policy bench. */
public final class PolicyBenchMain {
    private static final int MAX_THREADS = 3;

    private final PolicyBenchOptions options;
    private final PrintStream out;

    private PolicyBenchMain(PolicyBenchOptions options, PrintStream out) {
        this.options = options;
        this.out = out;
    }

    /** Runs the bench; exits with code 2 if an argument or a file is invalid. */
    public static void main(String[] arguments) {
        try {
            new PolicyBenchMain(PolicyBenchOptions.parse(arguments), System.out).run();
        } catch (AspenmoorException exception) {
            System.err.println(exception.getMessage());
            System.exit(2);
        }
    }

    private void run() throws AspenmoorException {
        List<NamedResult> results = new ArrayList<>();
        for (Fleet fleet : fleets()) {
            results.addAll(runFleet(fleet));
        }
        new TextReport(out).print(results);
        new ComparisonReport(out).print(results);
        if (options.jsonFile().isPresent()) {
            JsonReport.write(options.jsonFile().get(), results);
        }
        if (options.plotFile().isPresent()) {
            TimelinePlot.write(options.plotFile().get(), resultsOfFirstTrace(results));
        }
    }

    private List<Fleet> fleets() throws AspenmoorException {
        List<Fleet> fleets = new ArrayList<>();
        for (String name : options.fleets()) {
            Fleet fleet = switch (name) {
                case "seitkali" -> BuiltInFleets.seitkali();
                case "hojas" -> BuiltInFleets.hojas();
                default -> new FleetReader().read(Path.of(name));
            };
            ParameterVariation variation = options.variation();
            fleets.add(fleet.withParameters(fleet.parameters().with(variation)));
        }
        return fleets;
    }

    private List<NamedResult> runFleet(Fleet fleet) throws AspenmoorException {
        List<Future<List<NamedResult>>> futures = new ArrayList<>();
        try (ExecutorService threads = Executors.newFixedThreadPool(MAX_THREADS)) {
            for (String name : options.traces()) {
                for (long seed = options.firstSeed(); seed < options.firstSeed() + options.seedCount(); seed++) {
                    Trace trace = trace(fleet, name, seed);
                    long runSeed = seed;
                    futures.add(threads.submit(() -> runTrace(fleet, trace, runSeed)));
                }
            }
            List<NamedResult> results = new ArrayList<>();
            for (Future<List<NamedResult>> future : futures) {
                results.addAll(future.get());
            }
            return results;
        } catch (InterruptedException | ExecutionException exception) {
            throw new AspenmoorException(
                    "Could not complete a run of the bench: " + exception.getMessage() + ".",
                    fleet.name(),
                    "This is a fault in the bench; report it together with the arguments used.",
                    exception);
        }
    }

    private List<NamedResult> runTrace(Fleet fleet, Trace trace, long seed) {
        PolicyRunner runner = new PolicyRunner(fleet, trace, seed);
        List<NamedResult> results = new ArrayList<>();
        for (PolicyName policy : options.policies()) {
            results.add(new NamedResult(fleet.name(), trace.name(), seed, runner.run(policy)));
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
                "Unknown trace \"" + name + "\".",
                "--trace",
                "Name an existing file, \"all\", or one of "
                        + Arrays.stream(BuiltInTrace.values())
                                .map(BuiltInTrace::label)
                                .collect(Collectors.joining(", "))
                        + ".");
    }

    private static List<NamedResult> resultsOfFirstTrace(List<NamedResult> results) {
        NamedResult first = results.getFirst();
        return results.stream()
                .filter(result -> result.fleet().equals(first.fleet())
                        && result.trace().equals(first.trace())
                        && result.seed() == first.seed())
                .toList();
    }
}
