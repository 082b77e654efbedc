package org.aspenmoor.internal.planning;

import java.util.List;

/**
 * Finds since when the present mix has lasted.
 *
 * <p>Uses the generalised likelihood ratio of Poisson counts: for each possible moment of change, how much likelier the
 * counts are under two rates than under one. A plain moving average either follows a swing late or follows noise; the
 * ratio does neither, because it takes as much history as belongs to the present mix.
 */
final class ChangePointDetector {
    private static final double THRESHOLD = 10;
    private static final int LEAST_BUCKETS = 2;

    private ChangePointDetector() {}

    /**
     * Returns how many of the newest buckets belong to the present mix; all of them where no change shows.
     *
     * <p>Looks at ever longer stretches: over a long one, several changes can hide each other.
     *
     * @param counts for each bucket, newest first, the requests of each kind
     */
    static int presentLength(List<double[]> counts) {
        for (int length = 2 * LEAST_BUCKETS; length < counts.size(); length += Math.max(2, length / 2)) {
            int present = lastChange(counts.subList(0, length));
            if (present < length) {
                return present;
            }
        }
        return lastChange(counts);
    }

    private static int lastChange(List<double[]> counts) {
        if (counts.size() < 2 * LEAST_BUCKETS) {
            return counts.size();
        }
        int kinds = counts.getFirst().length;
        double[] total = new double[kinds];
        counts.forEach(bucket -> addTo(total, bucket));
        double[] recent = new double[kinds];
        int best = counts.size();
        double bestRatio = THRESHOLD;
        for (int length = 1; length <= counts.size() - LEAST_BUCKETS; length++) {
            addTo(recent, counts.get(length - 1));
            if (length < LEAST_BUCKETS) {
                continue;
            }
            double ratio = ratio(recent, length, total, counts.size());
            if (ratio > bestRatio) {
                bestRatio = ratio;
                best = length;
            }
        }
        return best;
    }

    private static double ratio(double[] recent, int recentLength, double[] total, int totalLength) {
        double ratio = 0;
        for (int kind = 0; kind < total.length; kind++) {
            ratio += likelihood(recent[kind], recentLength)
                    + likelihood(total[kind] - recent[kind], totalLength - recentLength)
                    - likelihood(total[kind], totalLength);
        }
        return ratio;
    }

    private static double likelihood(double count, double seconds) {
        return count <= 0 ? 0 : count * Math.log(count / seconds);
    }

    private static void addTo(double[] sum, double[] bucket) {
        for (int kind = 0; kind < sum.length; kind++) {
            sum[kind] += bucket[kind];
        }
    }
}
