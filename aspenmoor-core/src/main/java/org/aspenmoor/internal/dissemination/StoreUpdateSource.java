package org.aspenmoor.internal.dissemination;

/** How a relay received a document from the store. */
public enum StoreUpdateSource {
    /** By an event of a running watch. */
    WATCH_EVENT,
    /** By a listing, when the watch starts or after a gap in it. */
    LISTING
}
