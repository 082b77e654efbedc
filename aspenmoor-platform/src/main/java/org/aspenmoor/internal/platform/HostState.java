package org.aspenmoor.internal.platform;

/** What the platform says of a host. */
public enum HostState {
    /** It stays. */
    LIVE,
    /** It will be stopped soon and is to get no new work. */
    LEAVING
}
