package org.aspenmoor.internal.authority;

/** The result of publishing a plan. */
public sealed interface PublishResult {
    /**
     * The plan is in force.
     *
     * @param plan the record as stored
     */
    record Published(PlanRecord plan) implements PublishResult {}

    /** The lease is not held or about to expire; nothing was sent. */
    record NotHolder() implements PublishResult {}

    /** Another process has written the record since; nothing was written. */
    record Superseded() implements PublishResult {}
}
