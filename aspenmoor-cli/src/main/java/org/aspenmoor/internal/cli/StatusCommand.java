package org.aspenmoor.internal.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import joptsimple.OptionParser;
import org.aspenmoor.AspenmoorException;

/** Shows services and backend servers as one entry sees them. */
final class StatusCommand implements Command {
    private static final long DEFAULT_INTERVAL_SECONDS = 2;
    private static final String CLEAR_SCREEN = "\u001b[H\u001b[2J";

    @Override
    public String name() {
        return "status";
    }

    @Override
    public String arguments() {
        return "[--watch]";
    }

    @Override
    public String summary() {
        return "Shows services, their requests and their backend servers.";
    }

    @Override
    public void declare(OptionParser parser) {
        Options.declareFilters(parser);
        Options.declareEngineFilter(parser);
        parser.accepts(Options.WATCH, "show it again and again");
        parser.accepts(Options.INTERVAL, "seconds between two looks")
                .withRequiredArg()
                .ofType(Long.class)
                .defaultsTo(DEFAULT_INTERVAL_SECONDS);
    }

    @Override
    public ExitCode run(Invocation invocation) throws AspenmoorException {
        AdministrationClient client = invocation.client();
        boolean watches = invocation.has(Options.WATCH);
        Duration interval =
                Duration.ofSeconds(invocation.number(Options.INTERVAL).orElse(DEFAULT_INTERVAL_SECONDS));
        do {
            JsonNode status = client.get("status" + invocation.query());
            if (watches && !invocation.has(Options.JSON)) {
                invocation.out().print(CLEAR_SCREEN);
            }
            print(invocation, status);
        } while (watches && invocation.terminal().pause(interval));
        return ExitCode.DONE;
    }

    private static void print(Invocation invocation, JsonNode status) {
        if (invocation.has(Options.JSON)) {
            // One line each, so that a script can read a watch line by line.
            invocation.out().println(invocation.has(Options.WATCH) ? status.toString() : status.toPrettyString());
            return;
        }
        invocation.out().println("As seen by " + status.path("process").asText());
        StatusTables.services(invocation.out(), status.path("services"));
        invocation.out().println();
        StatusTables.engines(invocation.out(), status.path("engines"));
    }
}
