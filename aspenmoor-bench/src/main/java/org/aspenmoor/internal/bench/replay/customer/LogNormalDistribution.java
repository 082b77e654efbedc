package org.aspenmoor.internal.bench.replay.customer;

import java.util.random.RandomGenerator;

/**
 * A log-normal distribution of whole numbers, with an upper limit.
 *
 * @param mean mean before rounding and limiting
 * @param logDeviation standard deviation of the logarithm
 * @param max upper limit; larger values are set to it
 */
public record LogNormalDistribution(double mean, double logDeviation, double max) {
    /** Draws a whole number of at least 1. */
    public int sample(RandomGenerator random) {
        double logarithm = Math.log(mean) - logDeviation * logDeviation / 2 + logDeviation * random.nextGaussian();
        return (int) Math.max(1, Math.round(Math.min(max, Math.exp(logarithm))));
    }
}
