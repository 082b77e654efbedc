package org.aspenmoor.internal.serving;

/**
 * How the load of one entry on one backend server has changed since its last report.
 *
 * @param server the server's id
 * @param unansweredSeconds the change of the work whose answers have not started, in seconds; may be negative
 * @param requests the change of the number of requests at the server; may be negative
 */
public record LoadChange(String server, double unansweredSeconds, int requests) {
    LoadChange plus(LoadChange other) {
        return new LoadChange(server, unansweredSeconds + other.unansweredSeconds, requests + other.requests);
    }
}
