package org.aspenmoor.internal.standins.store;

/** What became of a write. */
sealed interface WriteResult {
    /**
     * It took effect.
     *
     * @param revision the object after it
     */
    record Written(Revision revision) implements WriteResult {}

    /**
     * Its condition did not hold.
     *
     * @param reason the API's word for it
     */
    record Conflict(String reason) implements WriteResult {}

    /** There is no such object. */
    record Missing() implements WriteResult {}
}
