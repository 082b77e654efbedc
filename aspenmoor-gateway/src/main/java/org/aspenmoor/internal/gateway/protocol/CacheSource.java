package org.aspenmoor.internal.gateway.protocol;

/**
 * Location of the cache of a prefilled prompt.
 *
 * @param host the IP address of the engine that holds the cache
 * @param port the port of that engine
 * @param handle the identifier that the engine has assigned to the cache
 */
public record CacheSource(String host, int port, String handle) {}
