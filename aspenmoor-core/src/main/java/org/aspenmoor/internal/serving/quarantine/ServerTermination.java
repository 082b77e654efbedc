package org.aspenmoor.internal.serving.quarantine;

import java.time.Duration;

/**
 * The termination of a server while it had a request, as entries report it to each other.
 *
 * @param suspect the request, or a part of its prompt
 * @param incarnation the incarnation of the server that terminated
 * @param age time since the termination
 * @param cleared whether the suspect has been answered since, so that the termination no longer counts against it
 */
public record ServerTermination(SuspectDigest suspect, ServerIncarnation incarnation, Duration age, boolean cleared) {}
