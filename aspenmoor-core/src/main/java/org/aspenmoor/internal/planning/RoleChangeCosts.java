package org.aspenmoor.internal.planning;

/**
 * What a role change takes.
 *
 * @param unavailableSeconds how long the engine is away
 * @param drainSeconds how long it serves less before, while its answers end or move
 * @param price the team's own price for one change, in weighted completed requests
 */
public record RoleChangeCosts(double unavailableSeconds, double drainSeconds, double price) {}
