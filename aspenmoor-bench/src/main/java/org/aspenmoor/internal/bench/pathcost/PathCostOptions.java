package org.aspenmoor.internal.bench.pathcost;

import java.net.URI;
import java.util.List;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;

/**
 * What the run is told.
 *
 * @param direct the engine's address
 * @param through the entry's address
 * @param token the caller's token
 * @param model the model to ask for
 * @param outputTokens tokens of each answer
 * @param requests requests on each way
 * @param concurrency requests of each way at once
 * @param processes names and process ids, as {@code NAME=ID}
 */
record PathCostOptions(
        URI direct,
        URI through,
        String token,
        String model,
        int outputTokens,
        int requests,
        int concurrency,
        List<String> processes) {
    private static final int DEFAULT_OUTPUT_TOKENS = 40;
    private static final int DEFAULT_REQUESTS = 400;
    private static final int DEFAULT_CONCURRENCY = 4;

    static PathCostOptions parse(String... arguments) {
        OptionParser parser = new OptionParser();
        OptionSpec<String> direct = parser.accepts("direct").withRequiredArg().required();
        OptionSpec<String> through = parser.accepts("through").withRequiredArg().required();
        OptionSpec<String> token = parser.accepts("token").withRequiredArg().required();
        OptionSpec<String> model = parser.accepts("model").withRequiredArg().required();
        OptionSpec<Integer> output = parser.accepts("output-tokens")
                .withRequiredArg()
                .ofType(Integer.class)
                .defaultsTo(DEFAULT_OUTPUT_TOKENS);
        OptionSpec<Integer> requests = parser.accepts("requests")
                .withRequiredArg()
                .ofType(Integer.class)
                .defaultsTo(DEFAULT_REQUESTS);
        OptionSpec<Integer> concurrency = parser.accepts("concurrency")
                .withRequiredArg()
                .ofType(Integer.class)
                .defaultsTo(DEFAULT_CONCURRENCY);
        OptionSpec<String> processes = parser.accepts("process").withRequiredArg();
        OptionSet options = parser.parse(arguments);
        return new PathCostOptions(
                URI.create(options.valueOf(direct)),
                URI.create(options.valueOf(through)),
                options.valueOf(token),
                options.valueOf(model),
                options.valueOf(output),
                options.valueOf(requests),
                options.valueOf(concurrency),
                options.valuesOf(processes));
    }
}
