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
final class AnswerLengths {
    private static final double NANOSECONDS = 1e9;

    /** Weight of one more answer in how many tokens an event has: callers' expectations are often far off. */
    private static final double LEARNING_SHARE = 0.05;

    /** One answer counts as no more than this many times longer or shorter than expected. */
    private static final double MOST_RATIO = 4;

    /** Answers of fewer events say little of how many tokens an event has. */
    private static final int LEAST_EVENTS = 5;

    /** So many answers show the tokens of an event within a third; an entry gets that many in the first seconds. */
    private static final int KNOWN_AFTER = 3;

    private final Map<String, ServiceLengths> services = new HashMap<>();

    /** Notes a request for an answer that should be whole within some time. */
    void asked(String service, Prompt prompt, Duration allowed, long now) {
        double seconds = allowed.toNanos() / NANOSECONDS;
        prompt.expectedOutputTokens().ifPresent(tokens -> of(service).wanted.note(tokens / seconds, now));
    }

    /** Notes a whole answer. */
    void whole(String service, Prompt prompt, int events) {
        if (events >= LEAST_EVENTS) {
            prompt.expectedOutputTokens().ifPresent(tokens -> of(service).learn((double) tokens / events));
        }
    }

    /** Returns the seconds from one event to the next at which the longest answers are whole; empty until it is known. */
    Optional<Double> neededPace(String service, long now) {
        ServiceLengths lengths = of(service);
        double tokensPerSecond = lengths.wanted.most(now);
        boolean known = lengths.known() && tokensPerSecond > 0;
        return known ? Optional.of(lengths.tokensPerEvent / tokensPerSecond) : Optional.empty();
    }

    /** Returns what is known well enough to tell others. */
    List<EventLength> learnt() {
        List<EventLength> learnt = new ArrayList<>();
        services.forEach((service, lengths) -> {
            if (lengths.known()) {
                learnt.add(new EventLength(service, lengths.tokensPerEvent));
            }
        });
        return learnt;
    }

    /** Takes in what another entry has found; one that has just started goes by it. */
    void heard(EventLength other) {
        if (!of(other.service()).known()) {
            of(other.service()).take(other.tokens());
        }
    }

    private ServiceLengths of(String service) {
        return services.computeIfAbsent(service, unseen -> new ServiceLengths());
    }

    private static final class ServiceLengths {
        private final RecentMaximum wanted = new RecentMaximum();
        private double tokensPerEvent = 1;
        private int answers;

        boolean known() {
            return answers >= KNOWN_AFTER;
        }

        void take(double tokens) {
            tokensPerEvent = tokens;
            answers = KNOWN_AFTER;
        }

        void learn(double seen) {
            answers++;
            double weight = Math.max(LEARNING_SHARE, 1.0 / answers);
            double ratio = answers == 1 ? seen : Math.clamp(seen / tokensPerEvent, 1 / MOST_RATIO, MOST_RATIO);
            tokensPerEvent *= Math.pow(ratio, weight);
        }
    }
}
