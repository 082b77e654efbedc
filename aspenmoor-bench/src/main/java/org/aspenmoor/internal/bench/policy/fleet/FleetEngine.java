package org.aspenmoor.internal.bench.policy.fleet;

/**
 * An engine of a fleet.
 *
 * @param name its name
 * @param dataCentre where it stands
 */
public record FleetEngine(String name, String dataCentre) {}
