package org.aspenmoor.internal.bench.capacity;

/**
 * Bytes and messages a second, sent and received together, of processes of one role.
 *
 * @param meanBytes mean over the processes
 * @param mostBytes that of the busiest process
 * @param meanMessages mean messages a second
 */
record TrialTraffic(double meanBytes, double mostBytes, double meanMessages) {}
