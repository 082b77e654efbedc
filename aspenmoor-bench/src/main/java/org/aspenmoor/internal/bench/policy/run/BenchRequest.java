package org.aspenmoor.internal.bench.policy.run;

import org.aspenmoor.RequestId;
import org.aspenmoor.internal.bench.policy.fleet.BenchKind;
import org.aspenmoor.internal.bench.policy.trace.TraceRequest;
import org.aspenmoor.internal.routing.PrefixChain;

/** One request during a run. */
final class BenchRequest {
    private final RequestId id;
    private final TraceRequest trace;
    private final BenchKind benchKind;
    private final PrefixChain prefix;
    private double firstTokenSeconds = -1;
    private int cachedTokens;

    BenchRequest(RequestId id, TraceRequest trace, BenchKind benchKind, int pieceTokens) {
        this.id = id;
        this.trace = trace;
        this.benchKind = benchKind;
        this.prefix = chain(trace, pieceTokens);
    }

    RequestId id() {
        return id;
    }

    String team() {
        return trace.team();
    }

    String kind() {
        return trace.kind();
    }

    double weight() {
        return benchKind.declaration().weight();
    }

    int promptTokens() {
        return trace.promptTokens();
    }

    int outputTokens() {
        return trace.outputTokens();
    }

    int longestOutputTokens() {
        return benchKind.declaration().longestOutputTokens();
    }

    PrefixChain prefix() {
        return prefix;
    }

    double arrivalSeconds() {
        return trace.arrivalSeconds();
    }

    double deadlineSeconds() {
        return trace.arrivalSeconds() + benchKind.declaration().deadline().toMillis() / 1000.0;
    }

    long deadlineNanoseconds() {
        return (long) (deadlineSeconds() * 1e9);
    }

    double firstTokenSeconds() {
        return firstTokenSeconds;
    }

    void firstToken(double seconds) {
        if (firstTokenSeconds < 0) {
            firstTokenSeconds = seconds;
        }
    }

    int cachedTokens() {
        return cachedTokens;
    }

    void sentWith(int cached) {
        cachedTokens = cached;
    }

    private static PrefixChain chain(TraceRequest trace, int pieceTokens) {
        if (trace.prefix().isEmpty() || trace.prefixTokens() == 0) {
            return PrefixChain.none();
        }
        long[] hashes = new long[Math.ceilDiv(trace.prefixTokens(), pieceTokens)];
        long hash = trace.prefix().get().hashCode();
        for (int piece = 0; piece < hashes.length; piece++) {
            hash = hash * 0x9E3779B97F4A7C15L + piece + 1;
            hashes[piece] = hash;
        }
        return PrefixChain.of(trace.prefixTokens(), hashes);
    }
}
