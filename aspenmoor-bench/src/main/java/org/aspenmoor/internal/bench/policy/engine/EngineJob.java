package org.aspenmoor.internal.bench.policy.engine;

import java.util.Optional;
import org.aspenmoor.RequestId;
import org.aspenmoor.internal.routing.PrefixChain;

/** A request at an engine, with its progress. */
public final class EngineJob {
    private final RequestId id;
    private final double weight;
    private final int promptTokens;
    private final int outputTokens;
    private final PrefixChain prefix;
    private final Optional<FakeEngine> decodeEngine;
    private final double latestStartSeconds;
    private boolean started;
    private double remainingPrefillTokens;
    private int generatedTokens;

    /**
     * Creates a job. With a decode engine, it is prefilled at one engine and its answer is generated at the decode
     * engine. A job that has not started by the latest start time is not started at all.
     */
    public EngineJob(
            RequestId id,
            double weight,
            int promptTokens,
            int outputTokens,
            PrefixChain prefix,
            Optional<FakeEngine> decodeEngine,
            double latestStartSeconds) {
        this.id = id;
        this.weight = weight;
        this.promptTokens = promptTokens;
        this.outputTokens = outputTokens;
        this.prefix = prefix;
        this.decodeEngine = decodeEngine;
        this.latestStartSeconds = latestStartSeconds;
        this.remainingPrefillTokens = promptTokens;
    }

    /** Returns the id of the request. */
    public RequestId id() {
        return id;
    }

    /** Returns the engine that generates the answer, if it is not the engine that prefills the prompt. */
    public Optional<FakeEngine> decodeEngine() {
        return decodeEngine;
    }

    double weight() {
        return weight;
    }

    boolean isTooLate(double nowSeconds) {
        return !started && nowSeconds > latestStartSeconds;
    }

    PrefixChain prefix() {
        return prefix;
    }

    int pieces(int pieceTokens) {
        return Math.ceilDiv(promptTokens + outputTokens, pieceTokens);
    }

    boolean started() {
        return started;
    }

    void start(int cachedTokens) {
        started = true;
        remainingPrefillTokens = Math.max(1, promptTokens - cachedTokens);
    }

    double remainingPrefillTokens() {
        return remainingPrefillTokens;
    }

    void prefilled(double tokens) {
        remainingPrefillTokens -= tokens;
    }

    boolean isPrefilled() {
        return remainingPrefillTokens <= 0;
    }

    void tokenGenerated() {
        generatedTokens++;
    }

    boolean isAnswerComplete() {
        return generatedTokens >= outputTokens;
    }

    double contextTokens() {
        return promptTokens + generatedTokens;
    }
}
