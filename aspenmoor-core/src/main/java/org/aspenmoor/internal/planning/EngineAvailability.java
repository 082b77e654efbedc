package org.aspenmoor.internal.planning;

/** Whether an engine can work. */
public sealed interface EngineAvailability {
    /** It works. */
    record Available() implements EngineAvailability {}

    /**
     * It is on its way to another role.
     *
     * @param sinceNanoseconds since when
     */
    record Changing(long sinceNanoseconds) implements EngineAvailability {}

    /** It is gone, leaving, or has not reported for too long. */
    record Withdrawn() implements EngineAvailability {}
}
