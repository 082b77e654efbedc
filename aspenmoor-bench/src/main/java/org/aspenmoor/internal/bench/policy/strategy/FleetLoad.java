package org.aspenmoor.internal.bench.policy.strategy;

/**
 * Current load of the engines by role, the input of the threshold rule.
 *
 * @param prefillWaitSeconds mean time to prefill the prompts queued at an engine that prefills, in seconds
 * @param decodeOccupancy mean fraction of the batch in use at an engine that decodes
 */
public record FleetLoad(double prefillWaitSeconds, double decodeOccupancy) {}
