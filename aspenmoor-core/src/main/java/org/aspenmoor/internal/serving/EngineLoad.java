package org.aspenmoor.internal.serving;

import java.util.Optional;

/**
 * What is known to run at a backend server at one moment.
 *
 * @param requests requests there, of all entries
 * @param secondsPerEvent its pace; empty where no answer shows it
 */
public record EngineLoad(double requests, Optional<Double> secondsPerEvent) {
    /** Nothing is known. */
    public static final EngineLoad UNKNOWN = new EngineLoad(0, Optional.empty());
}
