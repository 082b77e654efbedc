package org.aspenmoor.internal.admission;

import org.aspenmoor.RequestId;

/**
 * A request as admission sees it.
 *
 * @param id the request
 * @param team the team whose share it uses
 * @param kind the kind of the team's document
 * @param weight how much it counts once completed
 * @param deadlineNanoseconds when the whole answer stops being useful, on the monotonic clock
 * @param engineSeconds how long it is expected to occupy engines
 * @param serviceSeconds how long it is expected to take from its start to its end
 */
public record WaitingWork(
        RequestId id,
        String team,
        String kind,
        double weight,
        long deadlineNanoseconds,
        double engineSeconds,
        double serviceSeconds) {}
