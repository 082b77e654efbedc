package org.aspenmoor.internal.entry;

import java.time.Duration;
import org.aspenmoor.internal.membership.MembershipSettings;

/** Derives how long a link may be silent from the bound on new work to a leaving backend server. */
final class MembershipBounds {
    private static final int PARTS = 3;
    private static final int PARTS_IN_SILENCE = 2;

    private MembershipBounds() {}

    static MembershipSettings of(Duration leavingBound) {
        return new MembershipSettings(leavingBound, silence(leavingBound));
    }

    static Duration silence(Duration leavingBound) {
        return leavingBound.multipliedBy(PARTS_IN_SILENCE).dividedBy(PARTS);
    }
}
