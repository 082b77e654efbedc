package org.aspenmoor.internal.store.client;

/** What the platform says of a host. */
public enum HostState {
    /** It stays. */
    LIVE,
    /** It will be stopped soon and is to get no new work. */
    LEAVING
}
