package org.aspenmoor.internal.serving;

import java.util.Optional;

/**
 * The load that a backend server reported with an answer. Each figure is empty if the server did not state it, or not
 * readably.
 *
 * @param running requests that are being processed
 * @param waiting requests that wait for a slot
 * @param slots how many requests the server processes concurrently
 * @param slowdown how long work takes at this moment, as a multiple of its usual duration at this server
 * @param unreadable the statement as it was received if a figure of it was discarded
 */
public record ReportedLoad(
        Optional<Integer> running,
        Optional<Integer> waiting,
        Optional<Integer> slots,
        Optional<Double> slowdown,
        Optional<String> unreadable) {
    /** Returns the load of a server that states its requests and slots, and no slowdown. */
    public static ReportedLoad of(int running, int waiting, int slots) {
        return new ReportedLoad(
                Optional.of(running), Optional.of(waiting), Optional.of(slots), Optional.empty(), Optional.empty());
    }
}
