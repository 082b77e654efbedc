package org.aspenmoor.internal.bench.capacity;

/**
 * One measurement.
 *
 * @param size how many of the things there were
 * @param value what was measured
 */
public record SizePoint(double size, double value) {}
