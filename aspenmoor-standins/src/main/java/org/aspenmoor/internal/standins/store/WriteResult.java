package org.aspenmoor.internal.standins.store;

/** Result of a write. */
sealed interface WriteResult {
    /**
     * The write took effect.
     *
     * @param revision the object after the write
     */
    record Written(Revision revision) implements WriteResult {}

    /**
     * The object exists already or has another version than expected; the write had no effect.
     *
     * @param reason the reason code of the API
     */
    record Conflict(String reason) implements WriteResult {}

    /** The object does not exist. */
    record Missing() implements WriteResult {}
}
