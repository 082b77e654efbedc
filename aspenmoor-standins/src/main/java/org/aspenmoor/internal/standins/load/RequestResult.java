package org.aspenmoor.internal.standins.load;

/**
 * Result of a request after its last attempt.
 *
 * @param planned the request
 * @param end how it ended
 * @param detail description of the failure; empty if it was answered
 * @param recordId the id of the record that a service call created or read; empty if there is none
 * @param refusals number of refused attempts
 * @param firstTokenNanoseconds time to the first token of the last attempt; 0 if there was none
 * @param totalNanoseconds duration of the last attempt
 */
record RequestResult(
        PlannedRequest planned,
        RequestEnd end,
        String detail,
        String recordId,
        int refusals,
        long firstTokenNanoseconds,
        long totalNanoseconds) {
    RequestResult withEnd(RequestEnd newEnd, String newDetail) {
        return new RequestResult(
                planned, newEnd, newDetail, recordId, refusals, firstTokenNanoseconds, totalNanoseconds);
    }
}
