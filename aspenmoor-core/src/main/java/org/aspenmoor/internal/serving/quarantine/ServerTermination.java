package org.aspenmoor.internal.serving.quarantine;

import java.time.Duration;

/**
 * The termination of a server while it had a request, as entries report it to each other.
 *
 * @param request the request
 * @param incarnation the incarnation of the server that terminated
 * @param age time since the termination
 * @param cleared whether the request has been answered since, so that the termination no longer counts against it
 */
public record ServerTermination(RequestDigest request, ServerIncarnation incarnation, Duration age, boolean cleared) {}
