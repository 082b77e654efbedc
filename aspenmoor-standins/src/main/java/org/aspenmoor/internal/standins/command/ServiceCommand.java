package org.aspenmoor.internal.standins.command;

import java.io.IOException;
import java.io.PrintStream;
import java.util.UUID;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.aspenmoor.internal.standins.service.ServiceStandin;

/** Runs a stand-in for a plain service. */
public final class ServiceCommand implements Subcommand {
    @Override
    public String name() {
        return "service";
    }

    @Override
    public String summary() {
        return "a plain service that records every call it executes";
    }

    @Override
    public int run(PrintStream output, String... arguments) throws IOException, InterruptedException {
        OptionParser parser = new OptionParser();
        OptionSpec<Void> help = parser.accepts("help", "print this help").forHelp();
        OptionSpec<Integer> port = StoreCommand.port(parser);
        OptionSpec<String> name =
                parser.accepts("name", "the server's name").withRequiredArg().required();
        OptionSpec<Integer> calls = parser.accepts("calls", "maximum number of concurrent calls that it reports")
                .withRequiredArg()
                .ofType(Integer.class)
                .defaultsTo(16);
        OptionSet options = parser.parse(arguments);
        if (options.has(help)) {
            parser.printHelpOn(output);
            return 0;
        }
        ServiceStandin service =
                new ServiceStandin(options.valueOf(name), UUID.randomUUID().toString(), options.valueOf(calls));
        return ServerRunner.serve(output, options.valueOf(name), options.valueOf(port), service);
    }
}
