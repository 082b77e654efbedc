package org.aspenmoor.internal.bench.replay.run;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import org.aspenmoor.internal.bench.replay.customer.RequestProfile;
import org.aspenmoor.internal.bench.replay.customer.SharedPromptPart;
import org.aspenmoor.internal.serving.Prompt;
import org.aspenmoor.internal.serving.PromptPart;

/** Generates the requests of callers at random. */
final class CallerRequestGenerator {
    /** Skew of the popularity of shared parts: the weight of the n-th variant falls with this power of n. */
    private static final double POPULARITY_EXPONENT = 0.3;

    /** Width of the range of maximum waits of callers, as a fraction of the deadline. */
    private static final double WAIT_LIMIT_SPREAD = 0.15;

    /** Standard deviation of the logarithm of the error in callers' hints of the answer length. */
    private static final double LENGTH_HINT_LOG_DEVIATION = 0.5;

    private final RandomGenerator random;
    private long generatedRequests;

    CallerRequestGenerator(RandomGenerator random) {
        this.random = random;
    }

    CallerRequest generate(RequestProfile kind, long now) {
        generatedRequests++;
        List<PromptPart> parts = new ArrayList<>();
        String identity = kind.name();
        int level = 0;
        for (SharedPromptPart shared : kind.sharedParts()) {
            int variant = sampleVariant(shared.variants());
            identity = identity + "/" + level + ":" + variant;
            parts.add(new PromptPart(identity, sharedPartTokens(shared, identity)));
            level++;
        }
        parts.add(new PromptPart("own:" + generatedRequests, kind.uniqueTokens().sample(random)));
        int promptTokens = parts.stream().mapToInt(PromptPart::tokens).sum();
        int events = kind.events().sample(random);
        int maxEvents = (int) Math.ceil(kind.events().max());
        int expectedEvents = (int) Math.max(1, events * Math.exp(LENGTH_HINT_LOG_DEVIATION * random.nextGaussian()));
        Prompt prompt = new Prompt("model", promptTokens, maxEvents, Optional.of(expectedEvents), parts);
        double waitLimitFactor = 1 + WAIT_LIMIT_SPREAD * (random.nextDouble() - 0.5);
        Duration waitLimit = Duration.ofNanos((long) (kind.deadline().toNanos() * waitLimitFactor));
        return new CallerRequest(kind, prompt, events, now, now + waitLimit.toNanos());
    }

    /**
     * Returns the length of a shared part; it depends on the identity only, so the same part always has the same
     * length.
     */
    private static int sharedPartTokens(SharedPromptPart shared, String identity) {
        return shared.tokens().sample(new SplittableRandom(identity.hashCode()));
    }

    private int sampleVariant(int variants) {
        // Inverse of the distribution function of a density that falls with this power.
        double position = Math.pow(random.nextDouble(), 1 / (1 - POPULARITY_EXPONENT));
        return Math.min(variants - 1, (int) (position * variants));
    }
}
