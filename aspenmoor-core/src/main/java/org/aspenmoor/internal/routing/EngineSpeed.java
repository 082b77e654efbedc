package org.aspenmoor.internal.routing;

/**
 * How fast one engine works, as the decisions assume it.
 *
 * @param prefillTokensPerSecond prompt tokens computed a second when nothing else runs
 * @param decodeStepSeconds one decode step of an otherwise empty batch
 * @param decodeStepSecondsPerSequence what each further sequence adds to a step
 * @param mixingSlowdown the share by which prefill grows when decode steps run between its chunks
 * @param chunkTokens prompt tokens computed between two decode steps
 * @param transferSeconds the fixed part of handing a cache to another engine
 * @param transferTokensPerSecond prompt tokens whose cache is handed over a second
 */
public record EngineSpeed(
        double prefillTokensPerSecond,
        double decodeStepSeconds,
        double decodeStepSecondsPerSequence,
        double mixingSlowdown,
        int chunkTokens,
        double transferSeconds,
        double transferTokensPerSecond) {

    /** Returns figures in the middle of what is published for a 13-billion-parameter model on one accelerator. */
    public static EngineSpeed defaults() {
        return new EngineSpeed(8_000, 0.012, 0.000_35, 0.25, 512, 0.008, 120_000);
    }

    /** Returns the seconds that computing a prompt takes when nothing else runs. */
    public double prefillSeconds(double tokens) {
        return tokens / prefillTokensPerSecond;
    }

    /** Returns the seconds of one decode step over a batch. */
    public double stepSeconds(double sequences) {
        return decodeStepSeconds + decodeStepSecondsPerSequence * Math.max(0, sequences);
    }

    /** Returns the prompt tokens computed a second between the decode steps of a batch. */
    public double mixedPrefillTokensPerSecond(double sequences) {
        if (sequences <= 0) {
            return prefillTokensPerSecond;
        }
        return chunkTokens / (stepSeconds(sequences) + prefillSeconds(chunkTokens) * (1 + mixingSlowdown));
    }

    /** Returns the seconds that handing over the cache of a prompt takes. */
    public double handoffSeconds(double tokens) {
        return transferSeconds + tokens / transferTokensPerSecond;
    }
}
