package org.aspenmoor.internal.entry;

import java.time.Duration;
import org.aspenmoor.internal.membership.MembershipSettings;

/** Derives how long a link may be silent from the bound on new work to a leaving backend server. */
final class MembershipTimeouts {
    private static final int LEAVING_BOUND_PARTS = 3;
    private static final int LINK_TIMEOUT_PARTS = 2;

    private MembershipTimeouts() {}

    static MembershipSettings of(Duration leavingBound) {
        return new MembershipSettings(leavingBound, linkTimeout(leavingBound));
    }

    static Duration linkTimeout(Duration leavingBound) {
        return leavingBound.multipliedBy(LINK_TIMEOUT_PARTS).dividedBy(LEAVING_BOUND_PARTS);
    }
}
