package org.aspenmoor.internal.membership;

/**
 * One line of the platform's host list; it lags.
 *
 * @param backend the backend server on that host
 * @param leaving whether the platform is about to take the host away
 */
public record HostListEntry(String backend, boolean leaving) {}
