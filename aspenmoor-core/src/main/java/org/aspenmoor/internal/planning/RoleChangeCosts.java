package org.aspenmoor.internal.planning;

/**
 * The costs of a role change.
 *
 * @param unavailableSeconds how long the engine serves no requests
 * @param drainSeconds how long the engine serves fewer requests before that, while its answers end or move to others
 * @param price the price that the team sets for one change, in weighted completed requests
 */
public record RoleChangeCosts(double unavailableSeconds, double drainSeconds, double price) {}
