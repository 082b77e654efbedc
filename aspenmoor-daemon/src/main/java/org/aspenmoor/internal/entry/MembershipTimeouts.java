package org.aspenmoor.internal.entry;

import java.time.Duration;
import org.aspenmoor.internal.membership.MembershipSettings;

/** Derives the link timeout from the maximum time for which a leaving backend server may still receive new work. */
final class MembershipTimeouts {
    private static final int LEAVING_BOUND_PARTS = 3;
    private static final int LINK_TIMEOUT_PARTS = 2;

    private MembershipTimeouts() {}

    /** Returns the membership settings for a bound on new work to a leaving backend server. */
    static MembershipSettings of(Duration leavingBound) {
        return new MembershipSettings(leavingBound, linkTimeout(leavingBound));
    }

    /** Returns how long an agent may leave probes unanswered before its link is closed. */
    static Duration linkTimeout(Duration leavingBound) {
        return leavingBound.multipliedBy(LINK_TIMEOUT_PARTS).dividedBy(LEAVING_BOUND_PARTS);
    }
}
