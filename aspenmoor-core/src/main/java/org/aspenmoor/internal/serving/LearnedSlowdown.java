package org.aspenmoor.internal.serving;

/**
 * How long work takes at one server compared with the other servers that have its role, learned from its answers.
 *
 * @param factor the duration of work as a multiple of its duration at the others
 * @param answers the number of answers that the factor was learned from; older answers count less
 */
public record LearnedSlowdown(double factor, double answers) {}
