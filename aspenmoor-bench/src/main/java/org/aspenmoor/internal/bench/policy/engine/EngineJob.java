package org.aspenmoor.internal.bench.policy.engine;

import java.util.Optional;
import org.aspenmoor.RequestId;
import org.aspenmoor.internal.routing.PrefixChain;

/** One request at an engine, with how far it is. */
public final class EngineJob {
    private final RequestId id;
    private final double weight;
    private final int promptTokens;
    private final int outputTokens;
    private final PrefixChain prefix;
    private final Optional<FakeEngine> answerEngine;
    private final double latestStartSeconds;
    private boolean started;
    private double prefillLeft;
    private int generated;

    /** Makes a job; with an answer engine it is computed here and generated there. Late, it is not started at all. */
    public EngineJob(
            RequestId id,
            double weight,
            int promptTokens,
            int outputTokens,
            PrefixChain prefix,
            Optional<FakeEngine> answerEngine,
            double latestStartSeconds) {
        this.id = id;
        this.weight = weight;
        this.promptTokens = promptTokens;
        this.outputTokens = outputTokens;
        this.prefix = prefix;
        this.answerEngine = answerEngine;
        this.latestStartSeconds = latestStartSeconds;
        this.prefillLeft = promptTokens;
    }

    /** Returns the request. */
    public RequestId id() {
        return id;
    }

    /** Returns the engine that generates the answer, where it is another one. */
    public Optional<FakeEngine> answerEngine() {
        return answerEngine;
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
        prefillLeft = Math.max(1, promptTokens - cachedTokens);
    }

    double prefillLeft() {
        return prefillLeft;
    }

    void computed(double tokens) {
        prefillLeft -= tokens;
    }

    boolean isComputed() {
        return prefillLeft <= 0;
    }

    void generatedOne() {
        generated++;
    }

    boolean isGenerated() {
        return generated >= outputTokens;
    }

    double contextTokens() {
        return promptTokens + generated;
    }
}
