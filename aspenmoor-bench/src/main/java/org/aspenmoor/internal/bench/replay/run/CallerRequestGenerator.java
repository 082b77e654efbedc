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

/** Draws what callers ask for. */
final class CallerRequestGenerator {
    /** Popular shared parts are asked for more often: the weight of the n-th falls with this power of n. */
    private static final double POPULARITY_EXPONENT = 0.3;

    /** Callers differ in patience by up to this part of the deadline. */
    private static final double WAIT_LIMIT_SPREAD = 0.15;

    /** Standard deviation of the logarithm of how far callers are off about the lengths of their answers. */
    private static final double LENGTH_HINT_LOG_DEVIATION = 0.5;

    private final RandomGenerator random;
    private long generated;

    CallerRequestGenerator(RandomGenerator random) {
        this.random = random;
    }

    CallerRequest generate(RequestProfile kind, long now) {
        generated++;
        List<PromptPart> parts = new ArrayList<>();
        String identity = kind.name();
        int level = 0;
        for (SharedPromptPart shared : kind.sharedParts()) {
            int variant = sampleVariant(shared.variants());
            identity = identity + "/" + level + ":" + variant;
            parts.add(new PromptPart(identity, tokens(shared, identity)));
            level++;
        }
        parts.add(new PromptPart("own:" + generated, kind.uniqueTokens().sample(random)));
        int promptTokens = parts.stream().mapToInt(PromptPart::tokens).sum();
        int events = kind.events().sample(random);
        int maxEvents = (int) Math.ceil(kind.events().max());
        int expectedEvents = (int) Math.max(1, events * Math.exp(LENGTH_HINT_LOG_DEVIATION * random.nextGaussian()));
        Prompt prompt = new Prompt("model", promptTokens, maxEvents, Optional.of(expectedEvents), parts);
        double waitLimitFactor = 1 + WAIT_LIMIT_SPREAD * (random.nextDouble() - 0.5);
        Duration waitLimit = Duration.ofNanos((long) (kind.deadline().toNanos() * waitLimitFactor));
        return new CallerRequest(kind, prompt, events, now, now + waitLimit.toNanos());
    }

    /** The same part always has the same length. */
    private static int tokens(SharedPromptPart shared, String identity) {
        return shared.tokens().sample(new SplittableRandom(identity.hashCode()));
    }

    private int sampleVariant(int variants) {
        // The inverse of the distribution function of a density that falls with the power.
        double position = Math.pow(random.nextDouble(), 1 / (1 - POPULARITY_EXPONENT));
        return Math.min(variants - 1, (int) (position * variants));
    }
}
