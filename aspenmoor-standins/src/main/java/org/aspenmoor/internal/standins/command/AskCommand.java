package org.aspenmoor.internal.standins.command;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.PrintStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.aspenmoor.internal.standins.http.Json;

/** Queries an HTTP address, or polls it until a condition holds; for scripts without another HTTP client. */
public final class AskCommand implements Subcommand {
    private static final Duration TIMEOUT = Duration.ofSeconds(5);
    private static final long PAUSE_MILLISECONDS = 20;
    private static final int OK = 200;
    private static final int CONDITION_NOT_MET = 1;

    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    @Override
    public String name() {
        return "ask";
    }

    @Override
    public String summary() {
        return "queries an address, or polls it until a number in its JSON answer is reached";
    }

    @Override
    public int run(PrintStream output, String... arguments) throws IOException, InterruptedException {
        OptionParser parser = new OptionParser();
        OptionSpec<Void> help = parser.accepts("help", "print this help").forHelp();
        OptionSpec<String> url =
                parser.accepts("url", "the address to query").withRequiredArg().required();
        OptionSpec<String> post =
                parser.accepts("post", "body of a POST request; GET if missing").withRequiredArg();
        OptionSpec<String> pointer = parser.accepts(
                        "pointer", "JSON pointer of the value to print; an array is printed as its size")
                .withRequiredArg()
                .defaultsTo("");
        OptionSpec<String> where = parser.accepts(
                        "where", "count only those objects of the array in which this field is true")
                .withRequiredArg()
                .defaultsTo("");
        OptionSpec<Long> atLeast = parser.accepts("until-at-least", "poll until the value is at least this number")
                .withRequiredArg()
                .ofType(Long.class)
                .defaultsTo(Long.MIN_VALUE);
        OptionSpec<Integer> seconds = parser.accepts("seconds", "maximum polling time in seconds")
                .withRequiredArg()
                .ofType(Integer.class)
                .defaultsTo(0);
        OptionSet options = parser.parse(arguments);
        if (options.has(help)) {
            parser.printHelpOn(output);
            return 0;
        }
        HttpRequest request = request(URI.create(options.valueOf(url)), Optional.ofNullable(options.valueOf(post)));
        Query query = new Query(request, options.valueOf(pointer), options.valueOf(where), options.valueOf(atLeast));
        return queryUntil(query, options.valueOf(seconds), output);
    }

    private static HttpRequest request(URI url, Optional<String> body) {
        HttpRequest.Builder builder = HttpRequest.newBuilder(url).timeout(TIMEOUT);
        body.ifPresent(text -> builder.POST(HttpRequest.BodyPublishers.ofString(text)));
        return builder.build();
    }

    private int queryUntil(Query query, int seconds, PrintStream output) throws InterruptedException {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
        while (true) {
            Reply reply = query(query);
            if (reply.conditionMet()) {
                output.println(reply.text());
                return 0;
            }
            if (System.nanoTime() - deadline >= 0) {
                output.println("condition not met: " + reply.text());
                return CONDITION_NOT_MET;
            }
            TimeUnit.MILLISECONDS.sleep(PAUSE_MILLISECONDS);
        }
    }

    private Reply query(Query query) throws InterruptedException {
        try {
            HttpResponse<String> response = client.send(query.request(), HttpResponse.BodyHandlers.ofString());
            if (response.statusCode() != OK) {
                return new Reply(false, response.statusCode() + " " + response.body());
            }
            if (query.pointer().isEmpty()) {
                return new Reply(true, response.body());
            }
            JsonNode value =
                    Json.parseObject(response.body()).orElseGet(Json::object).at(query.pointer());
            long number = value.isArray() ? count(value, query.where()) : value.asLong();
            boolean reached = !value.isMissingNode() && number >= query.atLeast();
            return new Reply(reached, value.isArray() ? String.valueOf(number) : value.asText());
        } catch (IOException unreachable) {
            return new Reply(false, unreachable.toString());
        }
    }

    private static long count(JsonNode array, String where) {
        if (where.isEmpty()) {
            return array.size();
        }
        long counted = 0;
        for (JsonNode item : array) {
            counted += item.path(where).asBoolean() ? 1 : 0;
        }
        return counted;
    }

    private record Query(HttpRequest request, String pointer, String where, long atLeast) {}

    private record Reply(boolean conditionMet, String text) {}
}
