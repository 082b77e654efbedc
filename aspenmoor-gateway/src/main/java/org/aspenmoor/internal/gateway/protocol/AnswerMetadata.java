package org.aspenmoor.internal.gateway.protocol;

import java.time.Duration;
import java.util.Optional;
import org.aspenmoor.internal.serving.BackoffStatement;
import org.aspenmoor.internal.serving.DrainStatement;
import org.aspenmoor.internal.serving.ReportedLoad;
import org.aspenmoor.internal.serving.limit.LimitStatement;

/**
 * Metadata that a backend server sends in the head of an answer.
 *
 * @param requestId the request that the answer belongs to; empty if the server names none
 * @param signed whether the answer carries the server's signature
 * @param notExecuted whether the server states that it has not executed the request and will not execute it
 * @param load the load that the server reports
 * @param limit what the server states about the requests that it takes from all entries together
 * @param drain what the server states about whether it is draining
 * @param backoff whether the server wants no requests from this entry for a while
 * @param idleTimeout how long the server keeps an idle connection open
 */
public record AnswerMetadata(
        Optional<String> requestId,
        boolean signed,
        boolean notExecuted,
        Optional<ReportedLoad> load,
        LimitStatement limit,
        DrainStatement drain,
        BackoffStatement backoff,
        Optional<Duration> idleTimeout) {
    /**
     * Returns the part that counts of an answer of a health path. Such an answer is a measure of load: that it asks to
     * be repeated later, or states no limit, says nothing about requests.
     */
    public AnswerMetadata ofHealthAnswer() {
        return new AnswerMetadata(
                requestId,
                signed,
                notExecuted,
                load,
                new LimitStatement.Missing(),
                drain,
                new BackoffStatement.Missing(),
                idleTimeout);
    }
}
