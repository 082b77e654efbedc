package org.aspenmoor.internal.serving;

import java.time.Duration;
import java.util.List;
import org.aspenmoor.internal.engine.EngineRole;

/** Which prompts an entry holds back until an engine has room, and how long prompts may wait at engines. */
final class EntryQueueing {
    /** Fewer prompts within the tolerated wait leave an engine idle whenever one entry gives way. */
    private static final double MIN_PROMPTS_WITHIN_WAIT = 2.5;

    /**
     * Part of a request's objective that it may wait at an engine before this entry sends less there. With less, engines
     * run dry between the reports of their answers; with more, waiting and the answer itself do not fit the objective.
     */
    private static final double TOLERATED_WAIT_FRACTION = 0.25;

    /** Prompts that take less than this part of an answer's fixed time do not wait for room: they hold nobody up. */
    private static final double SHORT_PROMPT_FRACTION = 0.1;

    private static final double NANOSECONDS_PER_SECOND = 1e9;

    private EntryQueueing() {}

    /** Returns how long a prompt may wait at an engine before its entry sends less there. */
    static double toleratedWaitSeconds(Duration objective) {
        return objective.toNanos() / NANOSECONDS_PER_SECOND * TOLERATED_WAIT_FRACTION;
    }

    /**
     * Returns how many times longer than the settings say an engine takes. Where entries keep queues short it is the engine's
     * learnt speed; else the delay of its answers, without which entries send on to queues that none of them knows.
     */
    static double slowdown(ServerEstimate engine, boolean queuedAtEntry) {
        return queuedAtEntry ? engine.slowdownFromSettings() : engine.delaySlowdown();
    }

    /** Returns whether a prompt keeps an engine busy for so long that it holds others up. */
    static boolean isLongPrompt(ServerEstimate engine, double workSeconds) {
        return workSeconds > SHORT_PROMPT_FRACTION * engine.fixedSeconds();
    }

    /**
     * Returns whether engines compute several prompts within the wait that is tolerated. Only then can an entry learn from
     * waits how many it may send, and does a short queue keep an engine busy. Where one prompt takes as long as the whole
     * wait, each entry sends too few to learn in time: requests waited here for seconds while engines stood idle.
     */
    static boolean applicable(Duration objective, List<ServerEstimate> usable) {
        double toleratedSeconds = toleratedWaitSeconds(objective);
        double typicalPromptSeconds = usable.stream()
                .filter(each -> each.server().role() != EngineRole.DECODE)
                .mapToDouble(ServerEstimate::typicalPromptSeconds)
                .filter(seconds -> seconds > 0)
                .average()
                .orElse(Double.MAX_VALUE);
        return typicalPromptSeconds * MIN_PROMPTS_WITHIN_WAIT <= toleratedSeconds;
    }
}
