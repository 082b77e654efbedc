package org.aspenmoor.internal.serving.limit;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class LentSlotsTest {
    private static final long SECOND = Duration.ofSeconds(1).toNanos();
    private static final Duration DURATION = Duration.ofSeconds(3);
    private static final Map<String, Double> BUSY_OTHER = Map.of("owner", 1e-9, "busy", 1.0);
    private static final Map<String, Double> BUSY_OWNER = Map.of("owner", 1.0, "busy", 1e-9);

    /** The borrower's clock differs from the owner's by this. */
    private static final long CLOCK_DIFFERENCE = 1000 * SECOND;

    private LentSlots lent;
    private BorrowedSlots borrowed;

    @BeforeMethod
    public void createSlots() {
        lent = new LentSlots(new SlotRanking("server"));
        borrowed = new BorrowedSlots();
    }

    @Test
    public void should_lend_a_slot_to_the_entry_with_more_demand_and_take_it_back_when_the_loan_is_over() {
        List<SlotLoan> loans = update(BUSY_OTHER, 1 * SECOND, 1 * SECOND);
        assertEquals(loans, List.of(new SlotLoan(0, "busy", CLOCK_DIFFERENCE + 1 * SECOND, DURATION)));
        assertTrue(lent.contains(0));

        assertEquals(update(BUSY_OWNER, 1 * SECOND, 3 * SECOND), List.of());
        assertTrue(lent.contains(0));

        update(BUSY_OWNER, 1 * SECOND, 4 * SECOND);
        assertFalse(lent.contains(0));
    }

    // Guards against a slot that its owner uses again while a loan that arrived late still lasts at the borrower.
    @Test
    public void should_end_at_the_borrower_no_later_than_at_the_owner_however_late_reports_arrive() {
        long claimSentAt = 1 * SECOND;
        for (long claimDelay : new long[] {0, SECOND / 2, 2 * SECOND}) {
            for (long loanDelay : new long[] {0, SECOND, 2 * SECOND, 10 * SECOND}) {
                createSlots();
                long lentAt = claimSentAt + claimDelay;
                SlotLoan loan = update(BUSY_OTHER, claimSentAt, lentAt).get(0);
                long receivedAt = lentAt + loanDelay;
                borrowed.lent(loan, CLOCK_DIFFERENCE + receivedAt);

                long takenBackAt = lentAt + DURATION.toNanos();
                update(BUSY_OWNER, claimSentAt, takenBackAt);
                borrowed.expire(CLOCK_DIFFERENCE + takenBackAt);

                assertFalse(lent.contains(0));
                assertEquals(borrowed.slots(), Set.of(), "claim " + claimDelay + ", loan " + loanDelay);
            }
        }
    }

    // Guards against a slot that is lent to a second entry while the first may still use it.
    @Test
    public void should_not_lend_a_slot_to_another_entry_before_the_loan_is_over() {
        update(BUSY_OTHER, 1 * SECOND, 1 * SECOND);
        Map<String, Double> weights = Map.of("owner", 1e-9, "busy", 1e-9, "busier", 1.0);
        Map<String, ReceivedClaim> claims = Map.of("busier", new ReceivedClaim(new ShareClaim(9, 2, 5), 2 * SECOND));

        assertEquals(lent.update(Set.of(0), "owner", weights, claims, DURATION, 3 * SECOND), List.of());
        assertEquals(
                lent.update(Set.of(0), "owner", weights, claims, DURATION, 4 * SECOND),
                List.of(new SlotLoan(0, "busier", 5, DURATION)));
    }

    // Guards against a loan that answers a claim of an earlier process, whose clock started elsewhere.
    @Test
    public void should_ignore_a_loan_that_answers_a_claim_from_the_future_or_is_over() {
        borrowed.lent(new SlotLoan(0, "busy", 5 * SECOND, DURATION), 4 * SECOND);
        borrowed.lent(new SlotLoan(0, "busy", 1 * SECOND, DURATION), 4 * SECOND);

        assertEquals(borrowed.slots(), Set.of());
    }

    private List<SlotLoan> update(Map<String, Double> weights, long claimSentAt, long now) {
        long receivedAt = Math.min(now, claimSentAt + 2 * SECOND);
        ShareClaim claim = new ShareClaim(5, 1, CLOCK_DIFFERENCE + claimSentAt);
        Map<String, ReceivedClaim> claims = Map.of("busy", new ReceivedClaim(claim, receivedAt));
        return lent.update(Set.of(0), "owner", weights, claims, DURATION, now);
    }
}
