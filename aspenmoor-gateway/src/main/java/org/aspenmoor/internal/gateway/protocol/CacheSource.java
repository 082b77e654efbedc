package org.aspenmoor.internal.gateway.protocol;

/**
 * Where a computed prompt lies.
 *
 * @param host the engine's IP address
 * @param port the engine's port
 * @param handle what the engine calls it
 */
public record CacheSource(String host, int port, String handle) {}
