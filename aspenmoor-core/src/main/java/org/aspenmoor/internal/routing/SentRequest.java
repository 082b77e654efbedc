package org.aspenmoor.internal.routing;

/**
 * A request that is out.
 *
 * @param backend the engine that generates its answer
 */
record SentRequest(String backend) {}
