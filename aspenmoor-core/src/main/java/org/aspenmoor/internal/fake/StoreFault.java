package org.aspenmoor.internal.fake;

/** What may go wrong with one call to the store. */
public enum StoreFault {
    /** Nothing. */
    NONE,
    /** The store says that it did nothing. */
    UNAVAILABLE,
    /** A write takes effect and its answer is lost. */
    ANSWER_LOST,
    /** A write never arrives, and its sender cannot tell. */
    REQUEST_LOST,
    /** A write takes effect some time after its sender gave up. */
    LANDS_LATE,
    /** A read is answered by a replica that lags. */
    STALE_READ
}
