package org.aspenmoor.internal.serving;

import java.util.Optional;

/**
 * The known load of a backend server at one moment.
 *
 * @param requests requests at the server, from all entries
 * @param secondsPerEvent seconds between two events of an answer; empty if no recent answer shows it
 */
public record EngineLoad(double requests, Optional<Double> secondsPerEvent) {
    /** Nothing is known about the server. */
    public static final EngineLoad UNKNOWN = new EngineLoad(0, Optional.empty());
}
