package org.aspenmoor.internal.authority;

import java.util.Comparator;

/**
 * The place of a role plan in the order of all plans for one service and data centre.
 *
 * @param term counts takeovers; the fencing number
 * @param revision counts published plans over all terms
 */
public record PlanVersion(long term, long revision) implements Comparable<PlanVersion> {
    /** Before any plan. */
    public static final PlanVersion NONE = new PlanVersion(0, 0);

    private static final Comparator<PlanVersion> ORDER =
            Comparator.comparingLong(PlanVersion::term).thenComparingLong(PlanVersion::revision);

    @Override
    public int compareTo(PlanVersion other) {
        return ORDER.compare(this, other);
    }

    /** Says whether this comes after the other. */
    public boolean isAfter(PlanVersion other) {
        return compareTo(other) > 0;
    }
}
