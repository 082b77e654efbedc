package org.aspenmoor.internal.bench.replay.customer;

import java.util.random.RandomGenerator;

/**
 * A log-normal quantity.
 *
 * @param mean its mean
 * @param logDeviation the standard deviation of its logarithm
 * @param max what it is cut at
 */
public record LogNormalDistribution(double mean, double logDeviation, double max) {
    /** Draws one, a whole number of 1 at least. */
    public int sample(RandomGenerator random) {
        double logarithm = Math.log(mean) - logDeviation * logDeviation / 2 + logDeviation * random.nextGaussian();
        return (int) Math.max(1, Math.round(Math.min(max, Math.exp(logarithm))));
    }
}
