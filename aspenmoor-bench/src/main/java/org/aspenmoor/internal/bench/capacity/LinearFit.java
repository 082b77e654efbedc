package org.aspenmoor.internal.bench.capacity;

import java.util.List;

/**
 * A least-squares line through measurements.
 *
 * @param intercept its value at size 0
 * @param slope its growth per one more
 * @param slopeUncertainty half the width of the slope's 95% confidence interval
 * @param determination the share of the variation that the line explains
 */
public record LinearFit(double intercept, double slope, double slopeUncertainty, double determination) {
    private static final double[] STUDENT_95 = {12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228};
    private static final double STUDENT_95_ABOVE = 2.2;
    private static final int PARAMETERS = 2;

    /** Fits a line; at least three measurements at two sizes are needed. */
    public static LinearFit of(List<SizePoint> points) {
        if (points.size() <= PARAMETERS) {
            throw new IllegalArgumentException("a line with an uncertainty needs three measurements or more");
        }
        double meanSize = mean(points, true);
        double meanValue = mean(points, false);
        double sizeVariation = 0;
        double commonVariation = 0;
        double valueVariation = 0;
        for (SizePoint point : points) {
            double size = point.size() - meanSize;
            double value = point.value() - meanValue;
            sizeVariation += size * size;
            commonVariation += size * value;
            valueVariation += value * value;
        }
        double slope = commonVariation / sizeVariation;
        double residual = Math.max(0, valueVariation - slope * commonVariation);
        int freedom = points.size() - PARAMETERS;
        double slopeError = Math.sqrt(residual / freedom / sizeVariation);
        double determination = valueVariation == 0 ? 1 : 1 - residual / valueVariation;
        return new LinearFit(meanValue - slope * meanSize, slope, student(freedom) * slopeError, determination);
    }

    private static double mean(List<SizePoint> points, boolean ofSizes) {
        return points.stream()
                .mapToDouble(point -> ofSizes ? point.size() : point.value())
                .average()
                .orElseThrow();
    }

    private static double student(int freedom) {
        return freedom <= STUDENT_95.length ? STUDENT_95[freedom - 1] : STUDENT_95_ABOVE;
    }
}
