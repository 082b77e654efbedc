package org.aspenmoor.internal.bench.replay;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.aspenmoor.AspenmoorException;
import org.aspenmoor.internal.bench.replay.run.Mechanism;

/**
 * Command line arguments of the load replay.
 *
 * @param customerFiles files that describe the customers
 * @param dayNames days to replay; empty for all
 * @param firstSeed first random seed
 * @param seedCount number of consecutive seeds, starting with the first
 * @param loadFactors factors on the load; each is replayed separately
 * @param engineSpeedFactors factors on the speed of the engines; each is replayed separately
 * @param entries number of entries; empty for the number in the customer's file
 * @param disabled mechanisms that are switched off
 * @param printKinds whether to print a line for each request kind
 * @param plotFile file for the plot of the first seed; each replayed day overwrites it
 */
record ReplayOptions(
        List<Path> customerFiles,
        List<String> dayNames,
        long firstSeed,
        int seedCount,
        List<Double> loadFactors,
        List<Double> engineSpeedFactors,
        Optional<Integer> entries,
        Set<Mechanism> disabled,
        boolean printKinds,
        Optional<Path> plotFile) {

    static ReplayOptions parse(String[] arguments) throws AspenmoorException {
        OptionParser parser = new OptionParser();
        parser.accepts("customer").withRequiredArg().withValuesSeparatedBy(',').required();
        parser.accepts("day").withRequiredArg().withValuesSeparatedBy(',');
        parser.accepts("seed").withRequiredArg().ofType(Long.class).defaultsTo(1L);
        parser.accepts("seeds").withRequiredArg().ofType(Integer.class).defaultsTo(1);
        parser.accepts("load")
                .withRequiredArg()
                .ofType(Double.class)
                .withValuesSeparatedBy(',')
                .defaultsTo(1.0);
        parser.accepts("engine-speed")
                .withRequiredArg()
                .ofType(Double.class)
                .withValuesSeparatedBy(',')
                .defaultsTo(1.0);
        parser.accepts("entries").withRequiredArg().ofType(Integer.class);
        parser.accepts("off").withRequiredArg().withValuesSeparatedBy(',');
        parser.accepts("kinds");
        parser.accepts("plot").withRequiredArg();
        try {
            return read(parser.parse(arguments));
        } catch (OptionException exception) {
            throw new AspenmoorException(
                    "Invalid command line arguments: " + exception.getMessage() + ".",
                    "command line",
                    "Use --customer FILE with --day, --seed, --seeds, --load, --engine-speed, --entries, --off, --kinds"
                            + " or --plot.",
                    exception);
        }
    }

    private static ReplayOptions read(OptionSet options) throws AspenmoorException {
        return new ReplayOptions(
                options.valuesOf("customer").stream()
                        .map(file -> Path.of((String) file))
                        .toList(),
                options.valuesOf("day").stream().map(String.class::cast).toList(),
                (Long) options.valueOf("seed"),
                (Integer) options.valueOf("seeds"),
                options.valuesOf("load").stream().map(Double.class::cast).toList(),
                options.valuesOf("engine-speed").stream()
                        .map(Double.class::cast)
                        .toList(),
                Optional.ofNullable((Integer) options.valueOf("entries")),
                disabledMechanisms(options),
                options.has("kinds"),
                Optional.ofNullable((String) options.valueOf("plot")).map(Path::of));
    }

    private static Set<Mechanism> disabledMechanisms(OptionSet options) throws AspenmoorException {
        List<Mechanism> mechanisms = new ArrayList<>();
        for (Object label : options.valuesOf("off")) {
            mechanisms.add(Mechanism.find((String) label)
                    .orElseThrow(() -> new AspenmoorException(
                            "Unknown mechanism \"" + label + "\".",
                            "--off",
                            "Use one or more of "
                                    + List.of(Mechanism.values()).stream()
                                            .map(Mechanism::label)
                                            .toList() + ".")));
        }
        return mechanisms.isEmpty() ? EnumSet.noneOf(Mechanism.class) : EnumSet.copyOf(mechanisms);
    }
}
