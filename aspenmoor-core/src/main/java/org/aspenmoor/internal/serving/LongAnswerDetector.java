package org.aspenmoor.internal.serving;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * Which services give answers that take so long to tell that their engines cannot compute long prompts beside them.
 *
 * <p>The load it answers: answers of thousands of tokens that need most of their time even at an engine that does nothing
 * else, beside prompts of thousands of tokens. Between the pieces of such prompts a token took two to three times as long;
 * of the largest tenth of the answers a third was complete at its deadline, and the prompts of a burst were computed no
 * sooner. Short answers do not mind: there, engines for answers compute prompts too when all others are full.
 */
final class LongAnswerDetector {
    /** An answer that takes this part of its time to tell may not be complete in time at half the pace, with its wait. */
    private static final double MIN_TIME_FRACTION = 0.25;

    /** How long one such answer counts: an entry sees a part of them only, and they come in phases of some seconds. */
    private static final Duration RETENTION = Duration.ofSeconds(10);

    private final Map<String, Long> lastSeenAt = new HashMap<>();

    /**
     * Notes how long an answer has been told so far.
     *
     * @param told since its first event
     * @param allowed from its arrival to its deadline
     */
    void recordStreaming(String service, Duration streamed, Duration allowed, long now) {
        if (streamed.toNanos() > MIN_TIME_FRACTION * allowed.toNanos()) {
            lastSeenAt.put(service, now);
        }
    }

    /** Returns whether the service probably has long answers under way, from this entry or another. */
    boolean inProgress(String service, long now) {
        Long seen = lastSeenAt.get(service);
        return seen != null && now - seen < RETENTION.toNanos();
    }
}
