package org.aspenmoor.internal.planning;

import java.util.List;

/**
 * Detects since when the workload has had its present mix of request kinds.
 *
 * <p>Uses the generalised likelihood ratio of Poisson counts: for each possible time of a change, how much more
 * likely the counts are under two rates than under one. A moving average either detects a change late or reacts to
 * noise. The likelihood ratio avoids both, because it uses exactly the history that belongs to the present mix.
 */
final class ChangePointDetector {
    private static final double THRESHOLD = 10;
    private static final int MIN_BUCKETS = 2;

    private ChangePointDetector() {}

    /**
     * Returns how many of the newest buckets belong to the present mix; all of them if no change is detected.
     *
     * <p>Examines increasingly long parts of the history, because several changes in one long part can cancel out.
     *
     * @param counts the number of requests of each kind in each bucket, newest bucket first
     */
    static int currentMixLength(List<double[]> counts) {
        for (int length = 2 * MIN_BUCKETS; length < counts.size(); length += Math.max(2, length / 2)) {
            int mixLength = lastChange(counts.subList(0, length));
            if (mixLength < length) {
                return mixLength;
            }
        }
        return lastChange(counts);
    }

    private static int lastChange(List<double[]> counts) {
        if (counts.size() < 2 * MIN_BUCKETS) {
            return counts.size();
        }
        int kinds = counts.getFirst().length;
        double[] total = new double[kinds];
        counts.forEach(bucket -> addTo(total, bucket));
        double[] recent = new double[kinds];
        int best = counts.size();
        double bestRatio = THRESHOLD;
        for (int length = 1; length <= counts.size() - MIN_BUCKETS; length++) {
            addTo(recent, counts.get(length - 1));
            if (length < MIN_BUCKETS) {
                continue;
            }
            double ratio = logLikelihoodRatio(recent, length, total, counts.size());
            if (ratio > bestRatio) {
                bestRatio = ratio;
                best = length;
            }
        }
        return best;
    }

    private static double logLikelihoodRatio(double[] recent, int recentLength, double[] total, int totalLength) {
        double ratio = 0;
        for (int kind = 0; kind < total.length; kind++) {
            ratio += logLikelihood(recent[kind], recentLength)
                    + logLikelihood(total[kind] - recent[kind], totalLength - recentLength)
                    - logLikelihood(total[kind], totalLength);
        }
        return ratio;
    }

    private static double logLikelihood(double count, double seconds) {
        return count <= 0 ? 0 : count * Math.log(count / seconds);
    }

    private static void addTo(double[] sum, double[] bucket) {
        for (int kind = 0; kind < sum.length; kind++) {
            sum[kind] += bucket[kind];
        }
    }
}
