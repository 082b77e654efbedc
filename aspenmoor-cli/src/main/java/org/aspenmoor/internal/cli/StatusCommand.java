package org.aspenmoor.internal.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import joptsimple.OptionParser;
import org.aspenmoor.AspenmoorException;

/** Shows the services and backend servers as known to one entry. */
final class StatusCommand implements Command {
    private static final long DEFAULT_INTERVAL_SECONDS = 2;
    private static final String CLEAR_SCREEN = "\u001b[H\u001b[2J";

    @Override
    public String name() {
        return "status";
    }

    @Override
    public String argumentSyntax() {
        return "[--watch]";
    }

    @Override
    public String summary() {
        return "Shows services, their requests and their backend servers.";
    }

    @Override
    public void declareOptions(OptionParser parser) {
        Options.declareFilterOptions(parser);
        Options.declareEngineFilterOption(parser);
        parser.accepts(Options.WATCH, "refresh the output until interrupted");
        parser.accepts(Options.INTERVAL, "seconds between refreshes")
                .withRequiredArg()
                .ofType(Long.class)
                .defaultsTo(DEFAULT_INTERVAL_SECONDS);
    }

    @Override
    public ExitCode run(Invocation invocation) throws AspenmoorException {
        AdministrationClient client = invocation.client();
        boolean watch = invocation.hasOption(Options.WATCH);
        Duration interval =
                Duration.ofSeconds(invocation.optionNumber(Options.INTERVAL).orElse(DEFAULT_INTERVAL_SECONDS));
        do {
            JsonNode status = client.get("status" + invocation.filterQuery());
            if (watch && !invocation.hasOption(Options.JSON)) {
                invocation.out().print(CLEAR_SCREEN);
            }
            print(invocation, status);
        } while (watch && invocation.terminal().pause(interval));
        return ExitCode.DONE;
    }

    private static void print(Invocation invocation, JsonNode status) {
        if (invocation.hasOption(Options.JSON)) {
            // In watch mode, prints one line per status so that scripts can read the output line by line.
            invocation.out().println(invocation.hasOption(Options.WATCH) ? status.toString() : status.toPrettyString());
            return;
        }
        invocation.out().println("As seen by " + status.path("process").asText());
        StatusTables.printServices(invocation.out(), status.path("services"));
        invocation.out().println();
        StatusTables.printEngines(invocation.out(), status.path("engines"));
    }
}
