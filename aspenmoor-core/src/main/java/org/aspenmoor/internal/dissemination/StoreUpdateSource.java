package org.aspenmoor.internal.dissemination;

/** How the store told a relay of a document. */
public enum StoreUpdateSource {
    /** By an event of a running watch. */
    WATCH_EVENT,
    /** By a listing, at the start or after a gap in the watch. */
    LISTING
}
