package org.aspenmoor.internal.standins.command;

import java.io.IOException;
import java.io.PrintStream;
import java.util.Locale;
import java.util.UUID;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.aspenmoor.internal.engine.EngineRole;
import org.aspenmoor.internal.standins.engine.EngineSettings;
import org.aspenmoor.internal.standins.engine.EngineStandin;

/** Runs a stand-in for a model engine. */
public final class EngineCommand implements Subcommand {
    private static final int MILLISECONDS_PER_SECOND = 1000;

    @Override
    public String name() {
        return "engine";
    }

    @Override
    public String summary() {
        return "a model engine that answers with deterministic text";
    }

    @Override
    public int run(PrintStream output, String... arguments) throws IOException, InterruptedException {
        OptionParser parser = new OptionParser();
        OptionSpec<Void> help = parser.accepts("help", "print this help").forHelp();
        OptionSpec<Integer> port = StoreCommand.port(parser);
        OptionSpec<String> name =
                parser.accepts("name", "the engine's name").withRequiredArg().required();
        OptionSpec<String> role = parser.accepts("role", "whole, prefill or decode")
                .withRequiredArg()
                .defaultsTo("whole");
        OptionSpec<Void> ignoreFencing =
                parser.accepts("ignore-fencing", "accept orders with outdated fencing numbers");
        OptionSpec<Double> roleChangeSeconds = parser.accepts("seconds-per-role-change", "duration of a role change")
                .withRequiredArg()
                .ofType(Double.class)
                .defaultsTo(3.0);
        OptionSpec<Double> tokenMilliseconds = parser.accepts("token-milliseconds", "token interval")
                .withRequiredArg()
                .ofType(Double.class)
                .defaultsTo(20.0);
        OptionSpec<Double> prefill = parser.accepts("prefill-tokens-per-second", "prefill rate")
                .withRequiredArg()
                .ofType(Double.class)
                .defaultsTo(20_000.0);
        OptionSpec<Integer> sequences = parser.accepts("sequences", "maximum number of concurrent sequences")
                .withRequiredArg()
                .ofType(Integer.class)
                .defaultsTo(32);
        OptionSpec<Integer> pieces = parser.accepts("cache-pieces", "capacity of the prefix cache in pieces")
                .withRequiredArg()
                .ofType(Integer.class)
                .defaultsTo(2000);
        OptionSpec<String> loaded = parser.accepts(
                        "loaded", "MODEL@VERSION or MODEL:ADAPTER@VERSION; separated by commas, may be repeated")
                .withRequiredArg()
                .withValuesSeparatedBy(',');
        OptionSet options = parser.parse(arguments);
        if (options.has(help)) {
            parser.printHelpOn(output);
            return 0;
        }
        EngineSettings settings = new EngineSettings(
                options.valueOf(name),
                EngineRole.valueOf(options.valueOf(role).toUpperCase(Locale.ROOT)),
                options.has(ignoreFencing),
                Math.round(options.valueOf(roleChangeSeconds) * MILLISECONDS_PER_SECOND),
                options.valueOf(tokenMilliseconds),
                options.valueOf(prefill),
                options.valueOf(sequences),
                options.valueOf(pieces),
                options.valuesOf(loaded));
        EngineStandin engine = new EngineStandin(settings, UUID.randomUUID().toString());
        return ServerRunner.serve(output, settings.name(), options.valueOf(port), engine);
    }
}
