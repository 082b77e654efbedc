package org.aspenmoor.internal.admission;

/** Exponentially weighted means and variance of the lengths of one kind. */
final class LengthStatistics {
    private static final double P90_DEVIATIONS = 1.28;

    private final double window;
    private double count;
    private double promptMean;
    private double cachedMean;
    private double outputMean;
    private double outputVariance;

    LengthStatistics(double window) {
        this.window = window;
    }

    void add(int promptTokens, int cachedTokens, int outputTokens) {
        count = Math.min(window, count + 1);
        double weight = 1 / count;
        promptMean += weight * (promptTokens - promptMean);
        cachedMean += weight * (cachedTokens - cachedMean);
        double difference = outputTokens - outputMean;
        outputMean += weight * difference;
        outputVariance = (1 - weight) * (outputVariance + weight * difference * difference);
    }

    LengthEstimate estimate() {
        double p90 = outputMean + P90_DEVIATIONS * Math.sqrt(outputVariance);
        return new LengthEstimate(promptMean, outputMean, p90, promptMean > 0 ? cachedMean / promptMean : 0);
    }
}
