package org.aspenmoor.internal.administration;

/**
 * An operation of the administration API.
 *
 * @param method the HTTP method
 * @param path the path below the root of the API; path parameters start with a colon
 * @param handler the handler of its calls
 */
record Endpoint(String method, String path, EndpointHandler handler) {}
