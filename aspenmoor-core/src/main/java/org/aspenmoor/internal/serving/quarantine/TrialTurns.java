package org.aspenmoor.internal.serving.quarantine;

import java.time.Duration;

/** Determines how long after a quarantine period this entry may try a suspect again. */
@FunctionalInterface
public interface TrialTurns {
    /** Returns the time from the end of the quarantine period until this entry's turn. */
    Duration delay(SuspectDigest suspect);
}
