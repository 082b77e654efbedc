package org.aspenmoor.internal.gateway.request;

import java.time.Duration;
import org.aspenmoor.internal.serving.BackendServer;
import org.aspenmoor.internal.serving.quarantine.RequestDigest;

/**
 * A run of a request whose connection broke before the answer was complete.
 *
 * @param request the request's id
 * @param digest what the request has in common with its other arrivals
 * @param server where it ran
 * @param asked how long ago the server was asked
 * @param told how long its answer had been told
 */
record BrokenRun(String request, RequestDigest digest, BackendServer server, Duration asked, Duration told) {}
