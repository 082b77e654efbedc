package org.aspenmoor.internal.admission;

import org.aspenmoor.RequestId;

/**
 * The properties of a request that admission depends on.
 *
 * @param id the request id
 * @param team the team that the request is accounted to
 * @param kind the kind of request, as declared in the document of the team
 * @param weight value of the completed request; requests with a greater weight go first
 * @param deadlineNanoseconds the time by which the answer must be complete, on the monotonic clock
 * @param engineSeconds the expected engine time
 * @param serviceSeconds the expected time from the start to the end of the request
 */
public record WaitingRequest(
        RequestId id,
        String team,
        String kind,
        double weight,
        long deadlineNanoseconds,
        double engineSeconds,
        double serviceSeconds) {}
