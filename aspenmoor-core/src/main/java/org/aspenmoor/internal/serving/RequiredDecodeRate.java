package org.aspenmoor.internal.serving;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * How fast engines have to generate for the longest answers that callers expect to be whole at their deadline.
 *
 * <p>The load it answers: answers of very different lengths under one deadline. An engine that serves the usual one well
 * may be too slow for each of the longest, which then run to their deadline for nothing.
 */
final class RequiredDecodeRate {
    private static final double NANOSECONDS_PER_SECOND = 1e9;

    /** Weight of one more answer in how many tokens an event has: callers' expectations are often far off. */
    private static final double MIN_LEARNING_WEIGHT = 0.05;

    /** One answer counts as no more than this many times longer or shorter than expected. */
    private static final double MAX_RATIO = 4;

    /** Answers of fewer events say little of how many tokens an event has. */
    private static final int MIN_EVENTS = 5;

    /** So many answers show the tokens of an event within a third; an entry gets that many in the first seconds. */
    private static final int MIN_ANSWERS = 3;

    private final Map<String, ServiceAnswers> services = new HashMap<>();

    /** Notes a request for an answer that should be whole within some time. */
    void recordRequest(String service, Prompt prompt, Duration allowed, long now) {
        double seconds = allowed.toNanos() / NANOSECONDS_PER_SECOND;
        prompt.expectedOutputTokens().ifPresent(tokens -> answersOf(service).requestedTokensPerSecond.add(tokens / seconds, now));
    }

    /** Notes a whole answer. */
    void recordCompletedAnswer(String service, Prompt prompt, int events) {
        if (events >= MIN_EVENTS) {
            prompt.expectedOutputTokens().ifPresent(tokens -> answersOf(service).learn((double) tokens / events));
        }
    }

    /** Returns the seconds from one event to the next at which the longest answers are whole; empty until it is known. */
    Optional<Double> requiredEventSeconds(String service, long now) {
        ServiceAnswers answers = answersOf(service);
        double tokensPerSecond = answers.requestedTokensPerSecond.maximum(now);
        boolean known = answers.known() && tokensPerSecond > 0;
        return known ? Optional.of(answers.tokensPerEvent / tokensPerSecond) : Optional.empty();
    }

    /** Returns what is known well enough to tell others. */
    List<EventSize> learnedEventSizes() {
        List<EventSize> sizes = new ArrayList<>();
        services.forEach((service, answers) -> {
            if (answers.known()) {
                sizes.add(new EventSize(service, answers.tokensPerEvent));
            }
        });
        return sizes;
    }

    /** Takes in what another entry has found; one that has just started goes by it. */
    void learnFromPeer(EventSize peerSize) {
        if (!answersOf(peerSize.service()).known()) {
            answersOf(peerSize.service()).adopt(peerSize.tokensPerEvent());
        }
    }

    private ServiceAnswers answersOf(String service) {
        return services.computeIfAbsent(service, unseen -> new ServiceAnswers());
    }

    private static final class ServiceAnswers {
        private final RecentMaximum requestedTokensPerSecond = new RecentMaximum();
        private double tokensPerEvent = 1;
        private int answers;

        boolean known() {
            return answers >= MIN_ANSWERS;
        }

        void adopt(double tokens) {
            tokensPerEvent = tokens;
            answers = MIN_ANSWERS;
        }

        void learn(double observedTokensPerEvent) {
            answers++;
            double weight = Math.max(MIN_LEARNING_WEIGHT, 1.0 / answers);
            double ratio = answers == 1 ? observedTokensPerEvent : Math.clamp(observedTokensPerEvent / tokensPerEvent, 1 / MAX_RATIO, MAX_RATIO);
            tokensPerEvent *= Math.pow(ratio, weight);
        }
    }
}
