package org.aspenmoor.internal.claims;

import java.util.concurrent.CompletableFuture;
import org.aspenmoor.internal.claim.ClaimRequest;
import org.aspenmoor.internal.claim.ClaimTicket;
import org.aspenmoor.internal.claim.RecordedAnswer;

/** What the claim duty hears. */
public sealed interface ClaimMessage {
    /** A call wants to run once. */
    record Asked(ClaimRequest request) implements ClaimMessage {}

    /** A granted call was answered. */
    record Answered(ClaimTicket ticket, RecordedAnswer answer) implements ClaimMessage {}

    /** A granted call certainly never started. */
    record NeverStarted(ClaimTicket ticket) implements ClaimMessage {}

    /** Time has passed. */
    record Tick() implements ClaimMessage {}

    /** The process stops: everything that waits is to be written. */
    record FlushAsked(CompletableFuture<Void> flushed) implements ClaimMessage {}
}
