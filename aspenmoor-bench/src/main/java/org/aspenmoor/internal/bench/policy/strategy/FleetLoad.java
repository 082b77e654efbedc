package org.aspenmoor.internal.bench.policy.strategy;

/**
 * How busy the roles are, as the threshold rule sees it from the last reports.
 *
 * @param prefillWaitSeconds the mean seconds of prompts that wait at an engine that computes prompts
 * @param decodeOccupancy the mean share of the batch in use at an engine that generates
 */
public record FleetLoad(double prefillWaitSeconds, double decodeOccupancy) {}
