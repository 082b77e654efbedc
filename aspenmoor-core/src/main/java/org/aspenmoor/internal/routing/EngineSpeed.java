package org.aspenmoor.internal.routing;

/**
 * The assumed speed of an engine.
 *
 * @param prefillTokensPerSecond prefill rate of an otherwise idle engine
 * @param decodeStepSeconds duration of a decode step with an empty batch
 * @param decodeStepSecondsPerSequence duration that each sequence in the batch adds to a decode step
 * @param mixingSlowdown relative increase of prefill time when decode steps run between the chunks of a prompt;
 *     0.25 means 25 % more
 * @param chunkTokens prompt tokens prefilled between two decode steps
 * @param transferSeconds fixed part of the duration of a cache transfer to another engine
 * @param transferTokensPerSecond rate of a cache transfer, in prompt tokens per second
 */
public record EngineSpeed(
        double prefillTokensPerSecond,
        double decodeStepSeconds,
        double decodeStepSecondsPerSequence,
        double mixingSlowdown,
        int chunkTokens,
        double transferSeconds,
        double transferTokensPerSecond) {

    /** Returns mid-range published values for a 13-billion-parameter model on one accelerator. */
    public static EngineSpeed defaults() {
        return new EngineSpeed(8_000, 0.012, 0.000_35, 0.25, 512, 0.008, 120_000);
    }

    /** Returns the duration of the prefill of so many tokens on an otherwise idle engine. */
    public double prefillSeconds(double tokens) {
        return tokens / prefillTokensPerSecond;
    }

    /** Returns the duration of one decode step with so many sequences in the batch. */
    public double stepSeconds(double sequences) {
        return decodeStepSeconds + decodeStepSecondsPerSequence * Math.max(0, sequences);
    }

    /** Returns the prefill rate of an engine that also runs decode steps for so many sequences. */
    public double mixedPrefillTokensPerSecond(double sequences) {
        if (sequences <= 0) {
            return prefillTokensPerSecond;
        }
        return chunkTokens / (stepSeconds(sequences) + prefillSeconds(chunkTokens) * (1 + mixingSlowdown));
    }

    /** Returns the duration of the handoff of the cache of a prompt with so many tokens. */
    public double handoffSeconds(double tokens) {
        return transferSeconds + tokens / transferTokensPerSecond;
    }
}
