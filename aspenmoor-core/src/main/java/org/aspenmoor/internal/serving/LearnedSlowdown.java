package org.aspenmoor.internal.serving;

/**
 * How long work takes at one server while the server is at its usual speed, learned from its answers.
 *
 * @param factor the duration of work as a multiple of its duration at the speed of the settings, which all entries share
 * @param answers the number of answers that the factor was learned from; older answers count less
 */
public record LearnedSlowdown(double factor, double answers) {}
