package org.aspenmoor.internal.bench.policy.run;

import org.aspenmoor.RequestId;
import org.aspenmoor.internal.bench.policy.fleet.TraceKind;
import org.aspenmoor.internal.bench.policy.trace.TraceRequest;
import org.aspenmoor.internal.routing.PrefixChain;

/** A request during a run. */
final class SimulatedRequest {
    private final RequestId id;
    private final TraceRequest traceRequest;
    private final TraceKind traceKind;
    private final PrefixChain prefix;
    private double firstTokenSeconds = -1;
    private int cachedTokens;

    SimulatedRequest(RequestId id, TraceRequest traceRequest, TraceKind traceKind, int pieceTokens) {
        this.id = id;
        this.traceRequest = traceRequest;
        this.traceKind = traceKind;
        this.prefix = prefixChain(traceRequest, pieceTokens);
    }

    RequestId id() {
        return id;
    }

    String team() {
        return traceRequest.team();
    }

    String kind() {
        return traceRequest.kind();
    }

    double weight() {
        return traceKind.declaration().weight();
    }

    int promptTokens() {
        return traceRequest.promptTokens();
    }

    int outputTokens() {
        return traceRequest.outputTokens();
    }

    int longestOutputTokens() {
        return traceKind.declaration().longestOutputTokens();
    }

    PrefixChain prefix() {
        return prefix;
    }

    double arrivalSeconds() {
        return traceRequest.arrivalSeconds();
    }

    double deadlineSeconds() {
        return traceRequest.arrivalSeconds()
                + traceKind.declaration().deadline().toMillis() / 1000.0;
    }

    long deadlineNanoseconds() {
        return (long) (deadlineSeconds() * 1e9);
    }

    double firstTokenSeconds() {
        return firstTokenSeconds;
    }

    void firstTokenReceived(double seconds) {
        if (firstTokenSeconds < 0) {
            firstTokenSeconds = seconds;
        }
    }

    int cachedTokens() {
        return cachedTokens;
    }

    void sentWithCached(int tokens) {
        cachedTokens = tokens;
    }

    private static PrefixChain prefixChain(TraceRequest traceRequest, int pieceTokens) {
        if (traceRequest.prefix().isEmpty() || traceRequest.prefixTokens() == 0) {
            return PrefixChain.none();
        }
        long[] hashes = new long[Math.ceilDiv(traceRequest.prefixTokens(), pieceTokens)];
        long hash = traceRequest.prefix().get().hashCode();
        for (int piece = 0; piece < hashes.length; piece++) {
            hash = hash * 0x9E3779B97F4A7C15L + piece + 1;
            hashes[piece] = hash;
        }
        return PrefixChain.of(traceRequest.prefixTokens(), hashes);
    }
}
