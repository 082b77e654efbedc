package org.aspenmoor.internal.serving;

/**
 * How long work takes at a server outside of slow phases, taken from what the server stated.
 *
 * @param factor the duration of work as a multiple of its usual duration
 * @param statements the number of statements that the factor was taken from
 */
public record LastingSlowdown(double factor, int statements) {}
