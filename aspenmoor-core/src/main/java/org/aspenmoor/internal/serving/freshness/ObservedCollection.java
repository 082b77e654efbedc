package org.aspenmoor.internal.serving.freshness;

/** A collection in the store that all entries follow. */
public enum ObservedCollection {
    CONFIGURATION,
    SERVERS
}
