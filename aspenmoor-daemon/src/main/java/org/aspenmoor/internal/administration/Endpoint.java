package org.aspenmoor.internal.administration;

/**
 * One operation of the administration API.
 *
 * @param method the HTTP method
 * @param path the path below the API's root, named parts with a leading colon
 * @param handler what answers it
 */
record Endpoint(String method, String path, EndpointHandler handler) {}
