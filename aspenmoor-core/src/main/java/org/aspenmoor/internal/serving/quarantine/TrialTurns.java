package org.aspenmoor.internal.serving.quarantine;

import java.time.Duration;

/** Determines how long after a quarantine period this entry may try a suspect again. */
@FunctionalInterface
public interface TrialTurns {
    /** Returns the time from the end of the quarantine period, or the later start of this entry, until its turn. */
    Duration delay(SuspectDigest suspect);
}
