package org.aspenmoor.internal.membership;

import java.time.Duration;

/**
 * How quickly a leaving backend server stops receiving new work.
 *
 * @param leavingBound the guaranteed maximum time between an agent's announcement that it leaves and the last new
 * work
 * @param silenceAllowed how long a link may be unresponsive before its backend server receives no new work
 */
public record MembershipSettings(Duration leavingBound, Duration silenceAllowed) {
    /** A bound of three seconds, of which the link may be unresponsive for two. */
    public static final MembershipSettings DEFAULT =
            new MembershipSettings(Duration.ofSeconds(3), Duration.ofSeconds(2));

    public MembershipSettings {
        if (silenceAllowed.compareTo(leavingBound) >= 0) {
            throw new IllegalArgumentException(
                    "silenceAllowed must be shorter than leavingBound; lower silenceAllowed or raise leavingBound");
        }
    }
}
