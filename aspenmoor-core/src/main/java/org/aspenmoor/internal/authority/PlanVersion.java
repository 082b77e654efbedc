package org.aspenmoor.internal.authority;

import java.util.Comparator;

/**
 * The version of a role plan; versions order all plans of one service in one data centre.
 *
 * @param term the number of times the lease was acquired; serves as the fencing number of the lease
 * @param revision the number of published plans over all terms
 */
public record PlanVersion(long term, long revision) implements Comparable<PlanVersion> {
    /** The version before any plan. */
    public static final PlanVersion NONE = new PlanVersion(0, 0);

    private static final Comparator<PlanVersion> ORDER =
            Comparator.comparingLong(PlanVersion::term).thenComparingLong(PlanVersion::revision);

    @Override
    public int compareTo(PlanVersion other) {
        return ORDER.compare(this, other);
    }

    /** Returns whether this version is higher than the other. */
    public boolean isAfter(PlanVersion other) {
        return compareTo(other) > 0;
    }
}
