package org.aspenmoor.internal.standins.load;

/**
 * What became of a request.
 *
 * @param planned the request
 * @param end how it ended
 * @param detail one sentence where it was not answered
 * @param entryId the identity of the entry that a creation made; empty for all else
 * @param refusals how often it was refused on the way
 * @param firstTokenNanoseconds until the first token; 0 where there was none
 * @param totalNanoseconds until the end of the last try
 */
record RequestResult(
        PlannedRequest planned,
        RequestEnd end,
        String detail,
        String entryId,
        int refusals,
        long firstTokenNanoseconds,
        long totalNanoseconds) {
    RequestResult withEnd(RequestEnd newEnd, String newDetail) {
        return new RequestResult(
                planned, newEnd, newDetail, entryId, refusals, firstTokenNanoseconds, totalNanoseconds);
    }
}
