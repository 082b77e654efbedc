package org.aspenmoor.internal.gateway.request;

/** What an attempt has to get from its server. */
enum ExpectedAnswer {
    /** An answer that is forwarded once it is complete. */
    BUFFERED,

    /** A stream of events, at least one. */
    STREAM,

    /** The events after the last one that the caller has received; there may be none left. */
    REST_OF_STREAM
}
