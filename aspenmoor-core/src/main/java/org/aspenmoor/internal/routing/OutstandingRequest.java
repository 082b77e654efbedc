package org.aspenmoor.internal.routing;

/**
 * A request that was sent and has not ended.
 *
 * @param engine the name of the engine that runs decode
 */
record OutstandingRequest(String engine) {}
