package org.aspenmoor.internal.serving.origin;

/** Whether a stream that a caller takes up again may go on. */
public sealed interface ResumeDecision {
    /**
     * Servers of its origin may write the rest.
     *
     * @param origin what wrote its first event
     * @param basis why it is taken to have this origin
     */
    record Continue(StreamOrigin origin, OriginBasis basis) implements ResumeDecision {}

    /**
     * No server may write the rest.
     *
     * @param reason why, without a full stop
     */
    record Refuse(String reason) implements ResumeDecision {}
}
