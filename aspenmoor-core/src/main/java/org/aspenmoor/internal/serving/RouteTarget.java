package org.aspenmoor.internal.serving;

/**
 * A service that a route leads to.
 *
 * @param service its name
 * @param weight its share of the route's requests, relative to the weights of the other targets
 */
public record RouteTarget(String service, int weight) {}
