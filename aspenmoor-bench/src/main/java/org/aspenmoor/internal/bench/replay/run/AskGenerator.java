package org.aspenmoor.internal.bench.replay.run;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import org.aspenmoor.internal.bench.replay.customer.ServedKind;
import org.aspenmoor.internal.bench.replay.customer.SharedPart;
import org.aspenmoor.internal.serving.Prompt;
import org.aspenmoor.internal.serving.PromptPart;

/** Draws what callers ask for. */
final class AskGenerator {
    /** Popular shared parts are asked for more often: the weight of the n-th falls with this power of n. */
    private static final double POPULARITY_POWER = 0.3;

    /** Callers differ in patience by up to this part of the deadline. */
    private static final double PATIENCE_SPREAD = 0.15;

    /** Standard deviation of the logarithm of how far callers are off about the lengths of their answers. */
    private static final double EXPECTATION_SPREAD = 0.5;

    private final RandomGenerator random;
    private long asked;

    AskGenerator(RandomGenerator random) {
        this.random = random;
    }

    CallerAsk draw(ServedKind kind, long now) {
        asked++;
        List<PromptPart> parts = new ArrayList<>();
        String chain = kind.name();
        int level = 0;
        for (SharedPart shared : kind.shared()) {
            int chosen = popular(shared.identities());
            chain = chain + "/" + level + ":" + chosen;
            parts.add(new PromptPart(chain, tokens(shared, chain)));
            level++;
        }
        parts.add(new PromptPart("own:" + asked, kind.ownTokens().draw(random)));
        int promptTokens = parts.stream().mapToInt(PromptPart::tokens).sum();
        int events = kind.events().draw(random);
        int mostEvents = (int) Math.ceil(kind.events().most());
        int expected = (int) Math.max(1, events * Math.exp(EXPECTATION_SPREAD * random.nextGaussian()));
        Prompt prompt = new Prompt("model", promptTokens, mostEvents, Optional.of(expected), parts);
        double patience = 1 + PATIENCE_SPREAD * (random.nextDouble() - 0.5);
        Duration waits = Duration.ofNanos((long) (kind.deadline().toNanos() * patience));
        return new CallerAsk(kind, prompt, events, now, now + waits.toNanos());
    }

    /** The same part always has the same length. */
    private static int tokens(SharedPart shared, String identity) {
        return shared.tokens().draw(new SplittableRandom(identity.hashCode()));
    }

    private int popular(int identities) {
        // The inverse of the distribution function of a density that falls with the power.
        double drawn = Math.pow(random.nextDouble(), 1 / (1 - POPULARITY_POWER));
        return Math.min(identities - 1, (int) (drawn * identities));
    }
}
