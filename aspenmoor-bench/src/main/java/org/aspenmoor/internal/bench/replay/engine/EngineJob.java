package org.aspenmoor.internal.bench.replay.engine;

import java.util.Comparator;
import java.util.Optional;
import org.aspenmoor.internal.serving.Prompt;
import org.aspenmoor.internal.serving.WorkKind;

/** One attempt of a request at an engine. Compared by identity. */
public final class EngineJob {
    /** Orders by priority, then by sequence. */
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
     * Creates a job.
     *
     * @param events number of events of its answer
     * @param priority priority; 0 is the most urgent
     * @param cacheHolder engine to transfer cached parts of the prompt from
     * @param sequence sequence number; higher for later jobs
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

    /** Returns the number of tokens it occupies in the memory of the engine that generates its answer. */
    double cacheTokens() {
        return cacheTokens;
    }

    /** Returns the number of tokens that have to be in memory before its answer can start or resume. */
    double requiredCacheTokens() {
        return Math.max(cacheTokens, prompt.promptTokens());
    }

    /** Returns whether its answer has started. For a queued job this means that it was preempted. */
    boolean preempted() {
        return cacheTokens > 0;
    }

    void markTransferred() {
        transferred = true;
    }

    boolean transferred() {
        return transferred;
    }

    /** Starts the prefill of the tokens of its prompt that are not cached. */
    void startPrefill(double missingTokens) {
        remainingPromptTokens = missingTokens;
    }

    void prefilled(double tokens) {
        remainingPromptTokens -= tokens;
    }

    boolean prefillComplete() {
        return remainingPromptTokens <= 0;
    }

    /** Starts or resumes the generation of its answer. */
    void startDecode() {
        cacheTokens = requiredCacheTokens();
        stepsSinceEvent = 0;
    }

    /** Advances by a number of decode steps; returns whether they complete an event. */
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
