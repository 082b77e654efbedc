package org.aspenmoor.internal.authority;

/** What became of a plan that was to be published. */
public sealed interface PublishResult {
    /**
     * The plan is in force.
     *
     * @param plan as it stands in the store
     */
    record Published(PlanRecord plan) implements PublishResult {}

    /** The lease is not held, or its end is too near; nothing was sent. */
    record NotHolder() implements PublishResult {}

    /** Somebody else has written the record since; nothing was written. */
    record Superseded() implements PublishResult {}
}
