package org.aspenmoor.internal.planning;

/**
 * The weight and the objective deadline of a kind.
 *
 * @param kind the kind
 * @param weight the value of one completed request
 * @param deadlineSeconds the time within which the answer must be complete
 */
public record KindObjective(String kind, double weight, double deadlineSeconds) {}
