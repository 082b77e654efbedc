package org.aspenmoor.internal.bench.capacity;

import java.util.Locale;

/**
 * A figure with half the width of its 95% interval.
 *
 * @param value the figure
 * @param uncertainty how far it may be off; 0 for what is counted or given
 */
record Figure(double value, double uncertainty) {
    static final Figure NONE = new Figure(0, 0);

    static Figure exact(double value) {
        return new Figure(value, 0);
    }

    static Figure slopeOf(Slope slope) {
        return new Figure(slope.fit().slope(), slope.fit().slopeUncertainty());
    }

    Figure times(double factor) {
        return new Figure(value * factor, uncertainty * factor);
    }

    /** Adds two figures whose errors have nothing to do with each other. */
    Figure plus(Figure other) {
        return new Figure(value + other.value, Math.hypot(uncertainty, other.uncertainty));
    }

    /** Writes the figure with as many digits as it deserves. */
    String text(String unit) {
        if (value == 0) {
            return "–";
        }
        String written = number(value) + " " + unit;
        return uncertainty == 0 ? written : number(value) + " ± " + number(uncertainty) + " " + unit;
    }

    static String number(double value) {
        double size = Math.abs(value);
        if (size >= 100) {
            return String.format(Locale.ROOT, "%,.0f", value);
        }
        if (size >= 10) {
            return String.format(Locale.ROOT, "%.1f", value);
        }
        return String.format(Locale.ROOT, size >= 0.1 ? "%.2f" : "%.4f", value);
    }
}
