package org.aspenmoor.internal.store.client;

/** The state of a host as the platform reports it. */
public enum HostState {
    /** In service. */
    LIVE,
    /** About to be stopped; must not get new work. */
    LEAVING
}
