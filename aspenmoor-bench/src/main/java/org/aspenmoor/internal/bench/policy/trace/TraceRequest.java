package org.aspenmoor.internal.bench.policy.trace;

import java.util.Optional;

/**
 * One request of a trace.
 *
 * @param arrivalSeconds when it arrives
 * @param team whose share it uses
 * @param kind its kind
 * @param promptTokens the length of its prompt
 * @param outputTokens the length of its answer
 * @param prefix the name of the start that it shares with others
 * @param prefixTokens the length of that start
 */
public record TraceRequest(
        double arrivalSeconds,
        String team,
        String kind,
        int promptTokens,
        int outputTokens,
        Optional<String> prefix,
        int prefixTokens) {}
