package org.aspenmoor.internal.membership;

/**
 * One entry of the platform's host list, which lags behind the actual state.
 *
 * @param server the backend server on that host
 * @param leaving whether the platform is about to remove the host
 */
public record HostListEntry(String server, boolean leaving) {}
