package org.aspenmoor.internal.gateway.request;

import org.aspenmoor.internal.serving.BackendServer;

/**
 * A call that asks a server for its load.
 *
 * @param server the server
 * @param path the health path of its service
 */
public record HealthProbe(BackendServer server, String path) {}
