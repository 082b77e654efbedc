package org.aspenmoor.internal.serving.stop;

import java.time.Duration;
import java.util.Optional;

/**
 * Why a process that is stopping does not send a request to a server any more.
 *
 * @param left how long it still serves requests
 * @param expected how long an answer of the request's route may take; empty if that is not known
 */
public record StopRefusal(Duration left, Optional<Duration> expected) {}
