package org.aspenmoor.internal.planning;

/**
 * How much a kind counts.
 *
 * @param kind the kind
 * @param weight how much one completed request counts
 * @param deadlineSeconds within which the whole answer is useful
 */
public record KindObjective(String kind, double weight, double deadlineSeconds) {}
