package org.aspenmoor.internal.fake;

/** A fault of one call to the store. */
public enum StoreFault {
    /** No fault. */
    NONE,
    /** The store reports that it did not execute the call. */
    UNAVAILABLE,
    /** A write takes effect and its response is lost. */
    ANSWER_LOST,
    /** A write never arrives; its sender cannot distinguish this from a lost response. */
    REQUEST_LOST,
    /** A write takes effect after its sender has given up on the call. */
    LANDS_LATE,
    /** A read is served by an outdated replica. */
    STALE_READ
}
