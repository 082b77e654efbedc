package org.aspenmoor.internal.standins.command;

import java.io.IOException;
import java.io.PrintStream;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.aspenmoor.internal.standins.store.StoreStandin;
import org.aspenmoor.internal.time.SystemTimeSource;

/** Runs the stand-in for the object store and host list. */
public final class StoreCommand implements Subcommand {
    private static final int DEFAULT_READS_PER_SECOND = 2000;
    private static final int DEFAULT_WRITES_PER_SECOND = 400;

    @Override
    public String name() {
        return "store";
    }

    @Override
    public String summary() {
        return "the platform's object store and host list, in memory";
    }

    @Override
    public int run(PrintStream output, String... arguments) throws IOException, InterruptedException {
        OptionParser parser = new OptionParser();
        OptionSpec<Void> help = parser.accepts("help", "print this help").forHelp();
        OptionSpec<Integer> port = port(parser);
        OptionSpec<Integer> reads = parser.accepts(
                        "reads-per-second", "limit; calls above it are refused with status 429")
                .withRequiredArg()
                .ofType(Integer.class)
                .defaultsTo(DEFAULT_READS_PER_SECOND);
        OptionSpec<Integer> writes = parser.accepts(
                        "writes-per-second", "limit; calls above it are refused with status 429")
                .withRequiredArg()
                .ofType(Integer.class)
                .defaultsTo(DEFAULT_WRITES_PER_SECOND);
        OptionSet options = parser.parse(arguments);
        if (options.has(help)) {
            parser.printHelpOn(output);
            return 0;
        }
        try (StoreStandin store =
                new StoreStandin(new SystemTimeSource(), options.valueOf(reads), options.valueOf(writes))) {
            return ServerRunner.serve(output, name(), options.valueOf(port), store);
        }
    }

    static OptionSpec<Integer> port(OptionParser parser) {
        return parser.accepts("port", "port on the loopback address; 0 selects a free one")
                .withRequiredArg()
                .ofType(Integer.class)
                .defaultsTo(0);
    }
}
