package org.aspenmoor.internal.membership;

import java.time.Duration;

/**
 * How quickly a leaving backend server stops receiving new work.
 *
 * @param maxLeavingDelay the guaranteed maximum time between an agent's announcement that it leaves and the last new
 * work
 * @param linkTimeout how long a link may be unresponsive before its backend server receives no new work
 */
public record MembershipSettings(Duration maxLeavingDelay, Duration linkTimeout) {
    /** A bound of three seconds, of which the link may be unresponsive for two. */
    public static final MembershipSettings DEFAULT =
            new MembershipSettings(Duration.ofSeconds(3), Duration.ofSeconds(2));

    public MembershipSettings {
        if (linkTimeout.compareTo(maxLeavingDelay) >= 0) {
            throw new IllegalArgumentException(
                    "linkTimeout must be shorter than maxLeavingDelay; lower linkTimeout or raise maxLeavingDelay");
        }
    }
}
