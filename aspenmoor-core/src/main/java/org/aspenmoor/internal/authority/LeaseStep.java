package org.aspenmoor.internal.authority;

import java.time.Duration;

/** The result of one call of {@link PlanHolder#maintainLease}. */
public sealed interface LeaseStep {
    /**
     * The lease is held and no renewal is due.
     *
     * @param term the lease term
     */
    record Held(long term) implements LeaseStep {}

    /**
     * The lease was renewed.
     *
     * @param term the lease term
     */
    record Renewed(long term) implements LeaseStep {}

    /**
     * The lease was acquired under a new term.
     *
     * @param term the lease term
     */
    record Acquired(long term) implements LeaseStep {}

    /**
     * Another process holds the lease.
     *
     * @param owner the holder; empty if not known
     * @param remaining how long the record has to stay unchanged before the lease may be taken over
     */
    record Observing(String owner, Duration remaining) implements LeaseStep {}

    /**
     * Another process has written the record; the lease is lost.
     *
     * @param formerTerm the term under which the lease was held
     */
    record Lost(long formerTerm) implements LeaseStep {}
}
