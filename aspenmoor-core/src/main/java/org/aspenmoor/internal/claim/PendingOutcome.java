package org.aspenmoor.internal.claim;

import java.util.Optional;

/**
 * An outcome that waits for the store.
 *
 * @param ticket whose
 * @param answer what the call was answered; empty if it never started and its key is free again
 */
record PendingOutcome(ClaimTicket ticket, Optional<RecordedAnswer> answer) {}
