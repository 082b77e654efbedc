package org.aspenmoor.internal.planning;

/** Whether an engine can serve requests. */
public sealed interface EngineAvailability {
    /** The engine serves requests. */
    record Available() implements EngineAvailability {}

    /**
     * The engine is changing its role.
     *
     * @param sinceNanoseconds the start of the change, on the monotonic clock
     */
    record Changing(long sinceNanoseconds) implements EngineAvailability {}

    /** The engine was removed, is being removed, or has not reported for too long. */
    record Withdrawn() implements EngineAvailability {}
}
