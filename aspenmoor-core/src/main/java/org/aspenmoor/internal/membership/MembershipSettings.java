package org.aspenmoor.internal.membership;

import java.time.Duration;

/**
 * How soon a backend server that is leaving gets no new work.
 *
 * @param leavingBound the promise: the longest time between an agent's word that it leaves and the last new work
 * @param silenceAllowed how long a link may be silent until its backend server gets no new work
 */
public record MembershipSettings(Duration leavingBound, Duration silenceAllowed) {
    /** Three seconds, of which two may pass in silence. */
    public static final MembershipSettings DEFAULT =
            new MembershipSettings(Duration.ofSeconds(3), Duration.ofSeconds(2));

    public MembershipSettings {
        if (silenceAllowed.compareTo(leavingBound) >= 0) {
            throw new IllegalArgumentException("silenceAllowed has to be shorter than leavingBound");
        }
    }
}
