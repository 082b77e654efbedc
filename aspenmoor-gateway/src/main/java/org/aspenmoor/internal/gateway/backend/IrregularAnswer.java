package org.aspenmoor.internal.gateway.backend;

/**
 * What a server has sent that an intact server does not send, and when.
 *
 * @param requestId the id of the request that the connection was used for; empty if it was used for none that has an id
 * @param exchanges how many exchanges the connection has carried, the current one included
 * @param excerpt the beginning of the part that shows the irregularity; empty if there is none to show
 */
public record IrregularAnswer(AnswerIrregularity kind, String requestId, int exchanges, String excerpt) {
    private static final int MAX_EXCERPT_CHARACTERS = 120;

    /** Creates an instance; a longer excerpt is cut off. */
    public IrregularAnswer {
        excerpt = excerpt.substring(0, Math.min(excerpt.length(), MAX_EXCERPT_CHARACTERS));
    }
}
