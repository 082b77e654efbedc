package org.aspenmoor.internal.standins.command;

import java.io.IOException;
import java.io.PrintStream;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import joptsimple.ArgumentAcceptingOptionSpec;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.aspenmoor.AspenmoorException;
import org.aspenmoor.internal.standins.load.LoadReport;
import org.aspenmoor.internal.standins.load.LoadRun;
import org.aspenmoor.internal.standins.load.LoadSettings;

/** Sends a seeded random mix of a team's requests and checks every answer. */
public final class LoadCommand implements Subcommand {
    private static final Duration TIMEOUT = Duration.ofSeconds(60);
    private static final int FAULTY = 1;

    @Override
    public String name() {
        return "load";
    }

    @Override
    public String summary() {
        return "sends a team's requests to entries and checks every answer against the ledgers";
    }

    @Override
    public int run(PrintStream output, String... arguments)
            throws AspenmoorException, IOException, InterruptedException {
        OptionParser parser = new OptionParser();
        OptionSpec<Void> help = parser.accepts("help", "print this help").forHelp();
        OptionSpec<String> entries =
                addresses(parser, "entry", "addresses of entries").required();
        OptionSpec<String> ledgers = addresses(parser, "ledger", "addresses of stand-ins whose ledgers are read");
        OptionSpec<String> token =
                parser.accepts("token", "the team's token").withRequiredArg().required();
        OptionSpec<String> documents =
                addresses(parser, "document", "the team's document files").required();
        OptionSpec<Integer> requests = number(parser, "requests", "number of requests", 200);
        OptionSpec<Integer> concurrency = number(parser, "concurrency", "number of concurrent requests", 16);
        OptionSpec<Integer> tries = number(parser, "tries", "maximum number of attempts for a refused request", 10);
        OptionSpec<Integer> seed = number(parser, "seed", "seed of the random request mix", 1);
        OptionSpec<Void> cutsAllowed = parser.accepts(
                "cuts-allowed", "do not fail because of answers that are cut off, as when an entry is killed");
        OptionSpec<Void> repeatKeys = parser.accepts("repeat-keys", "send every call with an idempotency key twice");
        OptionSpec<String> json =
                parser.accepts("json", "file for the totals as JSON").withRequiredArg();
        OptionSet options = parser.parse(arguments);
        if (options.has(help)) {
            parser.printHelpOn(output);
            return 0;
        }
        LoadSettings settings = new LoadSettings(
                uris(options.valuesOf(entries)),
                uris(options.valuesOf(ledgers)),
                options.valueOf(token),
                DocumentFiles.read(options.valuesOf(documents)),
                options.valueOf(requests),
                options.valueOf(concurrency),
                options.valueOf(tries),
                TIMEOUT,
                options.has(repeatKeys),
                options.valueOf(seed));
        LoadReport report = new LoadRun(settings).run();
        report.print(output);
        if (options.has(json)) {
            Files.writeString(Path.of(options.valueOf(json)), report.toJson().toPrettyString());
        }
        boolean cut = report.anyCut() && !options.has(cutsAllowed);
        return report.faulty() || cut ? FAULTY : 0;
    }

    private static ArgumentAcceptingOptionSpec<String> addresses(OptionParser parser, String name, String description) {
        return parser.accepts(name, description + ", separated by commas")
                .withRequiredArg()
                .withValuesSeparatedBy(',');
    }

    private static OptionSpec<Integer> number(OptionParser parser, String name, String description, int fallback) {
        return parser.accepts(name, description)
                .withRequiredArg()
                .ofType(Integer.class)
                .defaultsTo(fallback);
    }

    private static List<URI> uris(List<String> texts) {
        return texts.stream().map(URI::create).toList();
    }
}
