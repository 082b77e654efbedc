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
 * @param customers the customers' files
 * @param days the days to play; empty for all
 * @param seed the first seed
 * @param seeds how many seeds, counted up from the first
 * @param loads how many times the load, each played by itself
 * @param engineSpeeds how many times as fast engines are, each played by itself
 * @param entries how many entries; empty for the customer's own number
 * @param off what is switched off
 * @param kinds whether to print a line for each kind
 * @param plot where to draw the first day
 */
record ReplayOptions(
        List<Path> customers,
        List<String> days,
        long seed,
        int seeds,
        List<Double> loads,
        List<Double> engineSpeeds,
        Optional<Integer> entries,
        Set<Mechanism> off,
        boolean kinds,
        Optional<Path> plot) {

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
        } catch (OptionException wrong) {
            throw new AspenmoorException(
                    "The arguments are wrong: " + wrong.getMessage() + ".",
                    "command line",
                    "Use --customer FILE with --day, --seed, --seeds, --load, --engine-speed, --entries, --off, --kinds"
                            + " or --plot.",
                    wrong);
        }
    }

    private static ReplayOptions read(OptionSet options) throws AspenmoorException {
        return new ReplayOptions(
                options.valuesOf("customer").stream()
                        .map(each -> Path.of((String) each))
                        .toList(),
                options.valuesOf("day").stream().map(String.class::cast).toList(),
                (Long) options.valueOf("seed"),
                (Integer) options.valueOf("seeds"),
                options.valuesOf("load").stream().map(Double.class::cast).toList(),
                options.valuesOf("engine-speed").stream()
                        .map(Double.class::cast)
                        .toList(),
                Optional.ofNullable((Integer) options.valueOf("entries")),
                mechanisms(options),
                options.has("kinds"),
                Optional.ofNullable((String) options.valueOf("plot")).map(Path::of));
    }

    private static Set<Mechanism> mechanisms(OptionSet options) throws AspenmoorException {
        List<Mechanism> off = new ArrayList<>();
        for (Object label : options.valuesOf("off")) {
            off.add(Mechanism.find((String) label)
                    .orElseThrow(() -> new AspenmoorException(
                            "There is no mechanism \"" + label + "\".",
                            "--off",
                            "Use some of "
                                    + List.of(Mechanism.values()).stream()
                                            .map(Mechanism::label)
                                            .toList() + ".")));
        }
        return off.isEmpty() ? EnumSet.noneOf(Mechanism.class) : EnumSet.copyOf(off);
    }
}
