package org.aspenmoor.internal.bench.replay.engine;

import java.util.Comparator;
import java.util.Optional;
import org.aspenmoor.internal.serving.Prompt;
import org.aspenmoor.internal.serving.WorkKind;

/** One attempt at an engine. Compared by identity. */
public final class EngineJob {
    /** More urgent ones first, then the earlier ones. */
    static final Comparator<EngineJob> BY_PRIORITY =
            Comparator.comparingInt(EngineJob::priority).thenComparingLong(job -> job.sequence);

    private final Prompt prompt;
    private final WorkKind workKind;
    private final int priority;
    private final Optional<SimulatedEngine> cacheHolder;
    private final EngineJobListener listener;
    private final long sequence;
    private int remainingEvents;
    private double cacheTokens;
    private double stepsSinceEvent;
    private double remainingPromptTokens;
    private boolean transferred;

    /**
     * Makes a job.
     *
     * @param events how many events its answer has
     * @param priority its rank; 0 goes first
     * @param cacheHolder an engine to fetch computed parts of the prompt from
     * @param sequence later jobs have higher ones
     */
    public EngineJob(
            Prompt prompt,
            WorkKind workKind,
            int events,
            int priority,
            Optional<SimulatedEngine> cacheHolder,
            long sequence,
            EngineJobListener listener) {
        this.prompt = prompt;
        this.workKind = workKind;
        this.remainingEvents = events;
        this.priority = priority;
        this.cacheHolder = cacheHolder;
        this.sequence = sequence;
        this.listener = listener;
    }

    Prompt prompt() {
        return prompt;
    }

    WorkKind workKind() {
        return workKind;
    }

    int priority() {
        return priority;
    }

    Optional<SimulatedEngine> cacheHolder() {
        return cacheHolder;
    }

    EngineJobListener listener() {
        return listener;
    }

    /** Returns how many tokens it has in the memory of the engine that generates its answer. */
    double cacheTokens() {
        return cacheTokens;
    }

    /** Returns how many tokens have to be in memory before its answer begins or goes on. */
    double requiredCacheTokens() {
        return Math.max(cacheTokens, prompt.promptTokens());
    }

    /** Returns whether its answer had begun and had to yield. */
    boolean preempted() {
        return cacheTokens > 0;
    }

    void markTransferred() {
        transferred = true;
    }

    boolean transferred() {
        return transferred;
    }

    /** Begins to compute what is missing of its prompt. */
    void startPrefill(double missingTokens) {
        remainingPromptTokens = missingTokens;
    }

    void prefilled(double tokens) {
        remainingPromptTokens -= tokens;
    }

    boolean prefillComplete() {
        return remainingPromptTokens <= 0;
    }

    /** Begins to generate its answer. */
    void startDecode() {
        cacheTokens = requiredCacheTokens();
        stepsSinceEvent = 0;
    }

    /** Takes some steps; returns whether they complete an event. */
    boolean decode(double steps, double stepsPerEvent) {
        stepsSinceEvent += steps;
        cacheTokens += steps;
        if (stepsSinceEvent < stepsPerEvent) {
            return false;
        }
        stepsSinceEvent -= stepsPerEvent;
        return true;
    }

    boolean allEventsSent() {
        return remainingEvents <= 0;
    }

    void countSentEvent() {
        remainingEvents--;
    }
}
