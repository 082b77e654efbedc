package org.aspenmoor.internal.serving;

import java.time.Duration;
import java.util.List;
import org.aspenmoor.internal.engine.EngineRole;

/** Decides which prompts an entry queues until an engine has room, and how long prompts may wait at engines. */
final class EntryQueueing {
    /**
     * Minimum number of typical prompts that an engine must be able to compute within the tolerated wait; with fewer,
     * an engine idles whenever one entry reduces its window.
     */
    private static final double MIN_PROMPTS_WITHIN_WAIT = 2.5;

    /**
     * Fraction of a request's objective that it may wait at an engine before this entry sends less work there. With a
     * smaller fraction, engines run out of work before their answers are seen; with a larger one, the wait and the
     * answer itself exceed the objective.
     */
    private static final double TOLERATED_WAIT_FRACTION = 0.25;

    /**
     * Prompts that take less than this fraction of an answer's fixed time are not queued, because they do not delay
     * others.
     */
    private static final double SHORT_PROMPT_FRACTION = 0.1;

    private static final double NANOSECONDS_PER_SECOND = 1e9;

    private EntryQueueing() {}

    /** Returns how long a prompt may wait at an engine, in seconds, before its entry sends less work there. */
    static double toleratedWaitSeconds(Duration objective) {
        return objective.toNanos() / NANOSECONDS_PER_SECOND * TOLERATED_WAIT_FRACTION;
    }

    /**
     * Returns how many times longer than specified by the settings an engine takes at this moment. If entries keep the
     * engines' queues short, this is the engine's learned slowdown and the one that it states. Otherwise it is the delay of its answers, which is the only sign of
     * work in the engine's queue that has not been reported to this entry.
     */
    static double slowdown(ServerEstimate engine, boolean queuedAtEntry, long now) {
        double usual = queuedAtEntry ? engine.slowdownFromSettings(now) : engine.delaySlowdown();
        return usual * engine.statedSlowdown(now);
    }

    /** Returns whether a prompt occupies an engine for so long that it delays other requests. */
    static boolean isLongPrompt(ServerEstimate engine, double workSeconds) {
        return workSeconds > SHORT_PROMPT_FRACTION * engine.fixedSeconds();
    }

    /**
     * Returns whether engines compute several prompts within the tolerated wait. Only then can an entry learn from the
     * waits how many prompts it may send, and only then does a short queue keep an engine busy. If one prompt takes as
     * long as the tolerated wait, each entry sends too few prompts to learn in time, and requests would wait at the
     * entry for seconds while engines are idle.
     */
    static boolean applicable(Duration objective, List<ServerEstimate> engines, long now) {
        double toleratedSeconds = toleratedWaitSeconds(objective);
        double typicalPromptSeconds = engines.stream()
                .filter(each -> each.server().role() != EngineRole.DECODE)
                .mapToDouble(each -> each.typicalPromptSeconds(now))
                .filter(seconds -> seconds > 0)
                .average()
                .orElse(Double.MAX_VALUE);
        return typicalPromptSeconds * MIN_PROMPTS_WITHIN_WAIT <= toleratedSeconds;
    }
}
