package org.aspenmoor.internal.serving;

/**
 * What a backend server said of its load with an answer.
 *
 * @param running requests it works on
 * @param waiting requests that wait for a slot
 * @param slots how many it works on at once
 */
public record ReportedLoad(int running, int waiting, int slots) {}
