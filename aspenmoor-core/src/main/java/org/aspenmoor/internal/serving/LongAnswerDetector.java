package org.aspenmoor.internal.serving;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * Detects services whose answers take so long to stream that their engines cannot compute long prompts at the same
 * time.
 *
 * <p>This happens with answers of thousands of tokens that need most of their allowed time even on an otherwise idle
 * engine, if the engine also computes prompts of thousands of tokens. While chunks of such prompts were computed
 * between the tokens of an answer, a token took two to three times as long. Of the longest tenth of the answers only a
 * third was complete at its deadline, and the prompts of a burst were not computed any sooner. Short answers are not
 * affected, so decode engines of services with short answers also compute prompts when all other engines are full.
 */
final class LongAnswerDetector {
    /**
     * An answer that streams for this fraction of its allowed time may miss its deadline if the decode rate halves, as
     * its wait uses up allowed time too.
     */
    private static final double MIN_TIME_FRACTION = 0.25;

    /** How long one such answer counts. An entry sees only some of them, and they come in phases of several seconds. */
    private static final Duration RETENTION = Duration.ofSeconds(10);

    private final Map<String, Long> lastSeenAt = new HashMap<>();

    /**
     * Records how long an answer has been streaming so far.
     *
     * @param streamed time since its first event
     * @param allowed time from the arrival of the request to its deadline
     */
    void recordStreaming(String service, Duration streamed, Duration allowed, long now) {
        if (streamed.toNanos() > MIN_TIME_FRACTION * allowed.toNanos()) {
            lastSeenAt.put(service, now);
        }
    }

    /** Returns whether the service probably has long answers in progress, at this entry or at another one. */
    boolean inProgress(String service, long now) {
        Long seen = lastSeenAt.get(service);
        return seen != null && now - seen < RETENTION.toNanos();
    }
}
