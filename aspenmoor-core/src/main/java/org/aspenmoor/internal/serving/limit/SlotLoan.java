package org.aspenmoor.internal.serving.limit;

import java.time.Duration;

/**
 * A slot that its owner lets another entry use for a while.
 *
 * @param slot the number of the slot, from zero
 * @param borrower the name of the entry that may use it
 * @param claimSentAt when the borrower sent the claim that the owner answers, by the borrower's own clock; see
 *     {@link ShareClaim#sentAt}
 * @param duration how long the borrower may use it, from then on
 */
public record SlotLoan(int slot, String borrower, long claimSentAt, Duration duration) {}
