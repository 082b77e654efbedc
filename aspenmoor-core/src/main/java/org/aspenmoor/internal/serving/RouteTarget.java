package org.aspenmoor.internal.serving;

/**
 * One service that a route leads to.
 *
 * @param service its name
 * @param weight its share of the route's requests, compared with the other targets' weights
 */
public record RouteTarget(String service, int weight) {}
