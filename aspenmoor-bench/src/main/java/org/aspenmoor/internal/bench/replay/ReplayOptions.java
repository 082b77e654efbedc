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
 * The arguments of the replay.
 *
 * @param customerFiles the customers' files
 * @param dayNames the days to play; empty for all
 * @param firstSeed the first seed
 * @param seedCount how many seeds, counted up from the first
 * @param loadFactors how many times the load, each played by itself
 * @param engineSpeedFactors how many times as fast engines are, each played by itself
 * @param entries how many entries; empty for the customer's own number
 * @param disabled what is switched off
 * @param printKinds whether to print a line for each kind
 * @param plotFile where to draw the first day
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
                    "The arguments are wrong: " + exception.getMessage() + ".",
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
                            "There is no mechanism \"" + label + "\".",
                            "--off",
                            "Use some of "
                                    + List.of(Mechanism.values()).stream()
                                            .map(Mechanism::label)
                                            .toList() + ".")));
        }
        return mechanisms.isEmpty() ? EnumSet.noneOf(Mechanism.class) : EnumSet.copyOf(mechanisms);
    }
}
