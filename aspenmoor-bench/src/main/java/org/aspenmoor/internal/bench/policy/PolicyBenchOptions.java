package org.aspenmoor.internal.bench.policy;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.aspenmoor.AspenmoorException;
import org.aspenmoor.internal.bench.policy.fleet.ParameterVariation;
import org.aspenmoor.internal.bench.policy.trace.BuiltInTrace;

/**
 * Command line arguments of the policy bench.
 *
 * @param fleets built-in fleets or fleet files
 * @param traces built-in traces or trace files
 * @param policies policies to run
 * @param firstSeed first random seed
 * @param seedCount number of consecutive seeds, starting with the first
 * @param variation variation of the parameters of the fake engines
 * @param jsonFile file to write the results to
 * @param plotFile file for the plot of the first trace
 */
record PolicyBenchOptions(
        List<String> fleets,
        List<String> traces,
        List<PolicyName> policies,
        long firstSeed,
        int seedCount,
        ParameterVariation variation,
        Optional<Path> jsonFile,
        Optional<Path> plotFile) {
    private static final String ALL = "all";

    static PolicyBenchOptions parse(String[] arguments) throws AspenmoorException {
        OptionParser parser = new OptionParser();
        parser.accepts("house").withRequiredArg().defaultsTo("seitkali");
        parser.accepts("trace").withRequiredArg().defaultsTo("sudden-swings");
        parser.accepts("policy").withRequiredArg().defaultsTo(ALL);
        parser.accepts("seed").withRequiredArg().ofType(Long.class).defaultsTo(1L);
        parser.accepts("seeds").withRequiredArg().ofType(Integer.class).defaultsTo(1);
        parser.accepts("parameters").withRequiredArg().defaultsTo("none");
        parser.accepts("json").withRequiredArg();
        parser.accepts("plot").withRequiredArg();
        try {
            return read(parser.parse(arguments));
        } catch (OptionException exception) {
            throw new AspenmoorException(
                    "Invalid command line arguments: " + exception.getMessage() + ".",
                    "command line",
                    "Use --house, --trace, --policy, --seed, --seeds, --parameters, --json or --plot with a value.",
                    exception);
        }
    }

    private static PolicyBenchOptions read(OptionSet options) throws AspenmoorException {
        return new PolicyBenchOptions(
                fleets((String) options.valueOf("house")),
                traces((String) options.valueOf("trace")),
                policies((String) options.valueOf("policy")),
                (Long) options.valueOf("seed"),
                (Integer) options.valueOf("seeds"),
                variation((String) options.valueOf("parameters")),
                Optional.ofNullable((String) options.valueOf("json")).map(Path::of),
                Optional.ofNullable((String) options.valueOf("plot")).map(Path::of));
    }

    private static List<String> fleets(String text) {
        return text.equals(ALL) ? List.of("seitkali", "hojas") : List.of(text.split(","));
    }

    private static List<String> traces(String text) {
        if (text.equals(ALL)) {
            return Arrays.stream(BuiltInTrace.values()).map(BuiltInTrace::label).toList();
        }
        return List.of(text.split(","));
    }

    private static List<PolicyName> policies(String text) throws AspenmoorException {
        if (text.equals(ALL)) {
            return List.of(PolicyName.values());
        }
        List<PolicyName> policies = new ArrayList<>();
        for (String name : text.split(",")) {
            policies.add(PolicyName.find(name)
                    .orElseThrow(() -> unknownValue(
                            "--policy",
                            name,
                            Arrays.stream(PolicyName.values())
                                    .map(PolicyName::label)
                                    .collect(Collectors.joining(", ")))));
        }
        return policies;
    }

    private static ParameterVariation variation(String label) throws AspenmoorException {
        if (label.equals("none")) {
            return ParameterVariation.none();
        }
        return ParameterVariation.find(label)
                .orElseThrow(() -> unknownValue(
                        "--parameters",
                        label,
                        ParameterVariation.all().stream()
                                .map(ParameterVariation::label)
                                .collect(Collectors.joining(", "))));
    }

    private static AspenmoorException unknownValue(String option, String value, String known) {
        return new AspenmoorException("Unknown value \"" + value + "\".", option, "Use one of " + known + ".");
    }
}
