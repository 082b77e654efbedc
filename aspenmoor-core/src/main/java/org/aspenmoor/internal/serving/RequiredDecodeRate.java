package org.aspenmoor.internal.serving;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Estimates the decode rate that engines need so that the longest answers are complete at their deadline.
 *
 * <p>Answers under one deadline vary widely in length. An engine that is fast enough for a typical answer may be too
 * slow for each of the longest ones, which then use engine time until their deadline without completing.
 */
final class RequiredDecodeRate {
    private static final double NANOSECONDS_PER_SECOND = 1e9;

    /** Minimum weight of a new answer in the estimated tokens per event; callers' estimates are often far off. */
    private static final double MIN_LEARNING_WEIGHT = 0.05;

    /** A single answer counts as at most this many times longer or shorter than estimated. */
    private static final double MAX_RATIO = 4;

    /** An answer may be this many times longer than stated; one that is longer still may have any length. */
    private static final double LENGTH_MARGIN = 1.5;

    /** Answers with fewer events are too short to estimate the tokens per event. */
    private static final int MIN_EVENTS = 5;

    /**
     * After this many answers the tokens per event are known to within a third. An entry sees that many within its
     * first seconds.
     */
    private static final int MIN_ANSWERS = 3;

    private final Map<String, ServiceAnswers> services = new HashMap<>();

    /** Records a request whose answer has to be complete within the allowed time. */
    void recordRequest(String service, Prompt prompt, Duration allowed, long now) {
        double seconds = allowed.toNanos() / NANOSECONDS_PER_SECOND;
        prompt.expectedOutputTokens()
                .ifPresent(tokens -> answersOf(service).requestedTokensPerSecond.add(tokens / seconds, now));
    }

    /** Records a complete answer and its number of events. */
    void recordCompletedAnswer(String service, Prompt prompt, int events) {
        if (events >= MIN_EVENTS) {
            prompt.expectedOutputTokens().ifPresent(tokens -> answersOf(service).learn((double) tokens / events));
        }
    }

    /**
     * Returns the longest interval between events, in seconds, at which the longest answers are still complete in time;
     * empty if too few answers have been seen or no recent request stated an expected length.
     */
    Optional<Double> requiredEventSeconds(String service, long now) {
        ServiceAnswers answers = answersOf(service);
        double tokensPerSecond = answers.requestedTokensPerSecond.maximum(now);
        boolean known = answers.known() && tokensPerSecond > 0;
        return known ? Optional.of(answers.tokensPerEvent / tokensPerSecond) : Optional.empty();
    }

    /**
     * Returns how many events an answer will have at the most; empty if too few answers have been seen or no length was
     * stated.
     *
     * @param events how many events it has already
     */
    Optional<Double> expectedEvents(String service, Prompt prompt, int events) {
        ServiceAnswers answers = answersOf(service);
        double longest = prompt.maxOutputTokens() / answers.tokensPerEvent;
        return prompt.expectedOutputTokens()
                .filter(tokens -> answers.known())
                .map(tokens -> LENGTH_MARGIN * tokens / answers.tokensPerEvent)
                .map(likely -> events < likely ? Math.min(likely, longest) : longest);
    }

    /** Returns the event sizes that are based on enough answers to be reported to other entries. */
    List<EventSize> learnedEventSizes() {
        List<EventSize> sizes = new ArrayList<>();
        services.forEach((service, answers) -> {
            if (answers.known()) {
                sizes.add(new EventSize(service, answers.tokensPerEvent));
            }
        });
        return sizes;
    }

    /**
     * Adopts an event size from another entry if this entry does not have an estimate of its own yet, for example just
     * after it started.
     */
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
        private int answerCount;

        boolean known() {
            return answerCount >= MIN_ANSWERS;
        }

        void adopt(double tokens) {
            tokensPerEvent = tokens;
            answerCount = MIN_ANSWERS;
        }

        void learn(double observedTokensPerEvent) {
            answerCount++;
            double weight = Math.max(MIN_LEARNING_WEIGHT, 1.0 / answerCount);
            double ratio = answerCount == 1
                    ? observedTokensPerEvent
                    : Math.clamp(observedTokensPerEvent / tokensPerEvent, 1 / MAX_RATIO, MAX_RATIO);
            tokensPerEvent *= Math.pow(ratio, weight);
        }
    }
}
