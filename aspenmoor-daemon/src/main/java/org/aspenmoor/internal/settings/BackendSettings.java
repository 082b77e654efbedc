package org.aspenmoor.internal.settings;

import java.net.URI;

/**
 * The backend server that an agent serves.
 *
 * @param name its name in the team's document
 * @param team the team that owns it
 * @param service the service it belongs to
 * @param host the host it runs on, as named in the platform's host list
 * @param type whether it is a model engine or a plain service
 * @param url base URL of its HTTP API
 */
public record BackendSettings(String name, String team, String service, String host, BackendType type, URI url) {}
