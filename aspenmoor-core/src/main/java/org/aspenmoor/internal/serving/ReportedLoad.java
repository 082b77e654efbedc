package org.aspenmoor.internal.serving;

/**
 * The load that a backend server reported with an answer.
 *
 * @param running requests that are being processed
 * @param waiting requests that wait for a slot
 * @param slots how many requests the server processes concurrently
 */
public record ReportedLoad(int running, int waiting, int slots) {}
