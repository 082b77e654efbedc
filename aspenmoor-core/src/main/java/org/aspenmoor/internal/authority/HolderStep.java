package org.aspenmoor.internal.authority;

import java.time.Duration;

/** What a {@link PlanHolder} did when it tended its lease. */
public sealed interface HolderStep {
    /**
     * The lease is held and no renewal is due.
     *
     * @param term the term it is held under
     */
    record Held(long term) implements HolderStep {}

    /**
     * The lease was renewed.
     *
     * @param term the term it is held under
     */
    record Renewed(long term) implements HolderStep {}

    /**
     * The lease was taken; the term is new.
     *
     * @param term the term it is held under
     */
    record Acquired(long term) implements HolderStep {}

    /**
     * Somebody else holds the lease.
     *
     * @param owner who
     * @param remaining how long the record has to stay unchanged until it may be taken over
     */
    record Observing(String owner, Duration remaining) implements HolderStep {}

    /**
     * Somebody else has written the record since; the lease is lost.
     *
     * @param formerTerm the term that ended
     */
    record Lost(long formerTerm) implements HolderStep {}
}
