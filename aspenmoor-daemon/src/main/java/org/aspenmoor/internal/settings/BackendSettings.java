package org.aspenmoor.internal.settings;

import java.net.URI;

/**
 * The backend server an agent stands beside.
 *
 * @param name its name in the team's document
 * @param team the team it serves
 * @param service the service it serves
 * @param host the host it runs on, as the platform's host list names it
 * @param type what it is
 * @param url where it answers
 */
public record BackendSettings(String name, String team, String service, String host, BackendType type, URI url) {}
