package org.aspenmoor.internal.claim;

import java.util.Optional;

/**
 * An outcome that is waiting to be written.
 *
 * @param ticket the ticket of the call
 * @param answer the answer of the call; empty if the call never started and its key is to be released
 */
record PendingOutcome(ClaimTicket ticket, Optional<RecordedAnswer> answer) {}
