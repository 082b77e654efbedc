package org.aspenmoor.internal.admission;

/** Exponentially forgetting means of one kind's lengths. */
final class SeenLengths {
    private static final double NINE_IN_TEN_DEVIATIONS = 1.28;

    private final double memory;
    private double count;
    private double promptMean;
    private double cachedMean;
    private double outputMean;
    private double outputVariance;

    SeenLengths(double memory) {
        this.memory = memory;
    }

    void add(int promptTokens, int cachedTokens, int outputTokens) {
        count = Math.min(memory, count + 1);
        double share = 1 / count;
        promptMean += share * (promptTokens - promptMean);
        cachedMean += share * (cachedTokens - cachedMean);
        double difference = outputTokens - outputMean;
        outputMean += share * difference;
        outputVariance = (1 - share) * (outputVariance + share * difference * difference);
    }

    LengthEstimate estimate() {
        double high = outputMean + NINE_IN_TEN_DEVIATIONS * Math.sqrt(outputVariance);
        return new LengthEstimate(promptMean, outputMean, high, promptMean > 0 ? cachedMean / promptMean : 0);
    }
}
