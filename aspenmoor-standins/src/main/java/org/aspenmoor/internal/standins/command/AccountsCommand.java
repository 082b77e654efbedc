package org.aspenmoor.internal.standins.command;

import java.io.IOException;
import java.io.PrintStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.aspenmoor.internal.standins.http.Json;

/** Sums the counts in the state dumps of processes; fails if an equation is violated. */
public final class AccountsCommand implements Subcommand {
    private static final Duration TIMEOUT = Duration.ofSeconds(5);
    private static final int UNBALANCED = 1;

    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    @Override
    public String name() {
        return "accounts";
    }

    @Override
    public String summary() {
        return "sums the counts of idle processes and checks their equations";
    }

    @Override
    public int run(PrintStream output, String... arguments) throws IOException, InterruptedException {
        OptionParser parser = new OptionParser();
        OptionSpec<Void> help = parser.accepts("help", "print this help").forHelp();
        OptionSpec<String> addresses = parser.nonOptions("addresses of processes");
        OptionSet options = parser.parse(arguments);
        if (options.has(help)) {
            parser.printHelpOn(output);
            return 0;
        }
        AccountSums sums = new AccountSums();
        for (String address : options.valuesOf(addresses)) {
            read(address, sums);
        }
        sums.print(output);
        List<String> violations = sums.violations();
        violations.forEach(output::println);
        return violations.isEmpty() ? 0 : UNBALANCED;
    }

    private void read(String address, AccountSums sums) throws InterruptedException {
        try {
            HttpRequest request = HttpRequest.newBuilder(URI.create(address).resolve("/state"))
                    .timeout(TIMEOUT)
                    .build();
            HttpResponse<String> response = client.send(request, HttpResponse.BodyHandlers.ofString());
            sums.add(Json.parseObject(response.body()).orElseGet(Json::object));
        } catch (IOException unreachable) {
            sums.addUnreadable(address, unreachable.toString());
        }
    }
}
