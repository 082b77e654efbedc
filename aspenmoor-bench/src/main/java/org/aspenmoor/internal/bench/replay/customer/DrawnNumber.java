package org.aspenmoor.internal.bench.replay.customer;

import java.util.random.RandomGenerator;

/**
 * A log-normal quantity.
 *
 * @param mean its mean
 * @param spread the standard deviation of its logarithm
 * @param most what it is cut at
 */
public record DrawnNumber(double mean, double spread, double most) {
    /** Draws one, a whole number of 1 at least. */
    public int draw(RandomGenerator random) {
        double logarithm = Math.log(mean) - spread * spread / 2 + spread * random.nextGaussian();
        return (int) Math.max(1, Math.round(Math.min(most, Math.exp(logarithm))));
    }
}
