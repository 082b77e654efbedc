package org.aspenmoor.internal.bench.replay.engine;

import java.util.Comparator;
import java.util.Optional;
import org.aspenmoor.internal.serving.Prompt;
import org.aspenmoor.internal.serving.WorkKind;

/** One attempt at an engine. Compared by identity. */
public final class EngineJob {
    /** More urgent ones first, then the earlier ones. */
    static final Comparator<EngineJob> BY_RANK =
            Comparator.comparingInt(EngineJob::rank).thenComparingLong(job -> job.number);

    private final Prompt prompt;
    private final WorkKind kind;
    private final int rank;
    private final Optional<ModelEngine> holder;
    private final EngineAnswers answers;
    private final long number;
    private int eventsLeft;
    private double tokens;
    private double steps;
    private double promptTokensLeft;
    private boolean transferred;

    /**
     * Makes a job.
     *
     * @param events how many events its answer has
     * @param rank its rank; 0 goes first
     * @param holder an engine to fetch computed parts of the prompt from
     * @param number later jobs have higher ones
     */
    public EngineJob(
            Prompt prompt,
            WorkKind kind,
            int events,
            int rank,
            Optional<ModelEngine> holder,
            long number,
            EngineAnswers answers) {
        this.prompt = prompt;
        this.kind = kind;
        this.eventsLeft = events;
        this.rank = rank;
        this.holder = holder;
        this.number = number;
        this.answers = answers;
    }

    Prompt prompt() {
        return prompt;
    }

    WorkKind kind() {
        return kind;
    }

    int rank() {
        return rank;
    }

    Optional<ModelEngine> holder() {
        return holder;
    }

    EngineAnswers answers() {
        return answers;
    }

    /** Returns how many tokens it has in the memory of the engine that generates its answer. */
    double tokens() {
        return tokens;
    }

    /** Returns how many tokens have to be in memory before its answer begins or goes on. */
    double tokensNeeded() {
        return Math.max(tokens, prompt.promptTokens());
    }

    /** Returns whether its answer had begun and had to yield. */
    boolean yielded() {
        return tokens > 0;
    }

    void noteTransferred() {
        transferred = true;
    }

    boolean transferred() {
        return transferred;
    }

    /** Begins to compute what is missing of its prompt. */
    void compute(double missing) {
        promptTokensLeft = missing;
    }

    void computed(double computedTokens) {
        promptTokensLeft -= computedTokens;
    }

    boolean promptComplete() {
        return promptTokensLeft <= 0;
    }

    /** Begins to generate its answer. */
    void beginAnswer() {
        tokens = tokensNeeded();
        steps = 0;
    }

    /** Takes some steps; returns whether they complete an event. */
    boolean step(double taken, double stepsPerEvent) {
        steps += taken;
        tokens += taken;
        if (steps < stepsPerEvent) {
            return false;
        }
        steps -= stepsPerEvent;
        return true;
    }

    boolean answered() {
        return eventsLeft <= 0;
    }

    void eventMade() {
        eventsLeft--;
    }
}
