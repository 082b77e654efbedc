package org.aspenmoor.internal.bench.policy.fleet;

/**
 * An engine of a fleet.
 *
 * @param name name of the engine
 * @param dataCentre data centre of the engine
 */
public record FleetEngine(String name, String dataCentre) {}
