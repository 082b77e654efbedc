package org.aspenmoor.internal.routing;

/**
 * A request that is out.
 *
 * @param engine the engine that generates its answer
 */
record OutstandingRequest(String engine) {}
