package org.aspenmoor.internal.bench.policy.trace;

import java.util.Optional;

/**
 * A request of a trace.
 *
 * @param arrivalSeconds arrival time, from the start of the trace
 * @param team team that the request is counted to
 * @param kind name of the request kind
 * @param promptTokens length of the prompt
 * @param outputTokens length of the answer
 * @param prefix name of the prefix that it shares with other requests; empty for none
 * @param prefixTokens length of that prefix
 */
public record TraceRequest(
        double arrivalSeconds,
        String team,
        String kind,
        int promptTokens,
        int outputTokens,
        Optional<String> prefix,
        int prefixTokens) {}
