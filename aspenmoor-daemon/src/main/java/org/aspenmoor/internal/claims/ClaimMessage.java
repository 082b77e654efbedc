package org.aspenmoor.internal.claims;

import java.util.concurrent.CompletableFuture;
import org.aspenmoor.internal.claim.ClaimRequest;
import org.aspenmoor.internal.claim.ClaimTicket;
import org.aspenmoor.internal.claim.RecordedAnswer;

/** Messages processed by the claim worker. */
public sealed interface ClaimMessage {
    /** Requests a claim for a call. */
    record Asked(ClaimRequest request) implements ClaimMessage {}

    /** A call with a granted claim was answered. */
    record Answered(ClaimTicket ticket, RecordedAnswer answer) implements ClaimMessage {}

    /** A call with a granted claim is known not to have started. */
    record NeverStarted(ClaimTicket ticket) implements ClaimMessage {}

    /** Triggers the rechecks that are due. */
    record Tick() implements ClaimMessage {}

    /** Requests that everything pending is written, because the process is stopping. */
    record FlushAsked(CompletableFuture<Void> flushed) implements ClaimMessage {}
}
