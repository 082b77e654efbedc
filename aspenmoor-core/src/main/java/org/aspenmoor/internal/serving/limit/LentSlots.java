package org.aspenmoor.internal.serving.limit;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The slots of a server that this entry owns and lends to entries with more demand. Confined to one thread; times are
 * nanoseconds of the monotonic clock.
 *
 * <p>A slot must never be used by two entries at once, however late reports arrive. So a loan ends at the borrower a fixed
 * time after it sent the claim that the owner answers, and at the owner the same time after it received that claim.
 */
final class LentSlots {
    private final SlotRanking ranking;
    private final Map<Integer, Lent> lent = new HashMap<>();

    LentSlots(SlotRanking ranking) {
        this.ranking = ranking;
    }

    /**
     * Renews loans, lends other slots, and takes back those whose time is over.
     *
     * @param ownSlots the slots that this entry may lend
     * @param own the name of this entry
     * @param weights the weights of this entry and of those whose claims are current, by entry
     * @param claims the current claims of the other entries, by entry
     * @param duration how long a loan lasts
     * @return the loans to be reported to the borrowers
     */
    List<SlotLoan> update(
            Set<Integer> ownSlots,
            String own,
            Map<String, Double> weights,
            Map<String, ReceivedClaim> claims,
            Duration duration,
            long now) {
        lent.values().removeIf(each -> now - each.until() >= 0);
        List<SlotLoan> loans = new ArrayList<>();
        for (int slot : ownSlots) {
            String preferred = ranking.preferred(slot, weights);
            Optional<ReceivedClaim> claim = Optional.ofNullable(claims.get(preferred));
            boolean free = !lent.containsKey(slot) || lent.get(slot).borrower().equals(preferred);
            if (!preferred.equals(own) && free && claim.isPresent()) {
                long until = claim.get().receivedAt() + duration.toNanos();
                lent.put(slot, new Lent(preferred, until));
                loans.add(new SlotLoan(slot, preferred, claim.get().claim().sentAt(), duration));
            }
        }
        return loans;
    }

    /** Returns whether a slot is lent, or may still be used by an entry that had it. */
    boolean contains(int slot) {
        return lent.containsKey(slot);
    }

    private record Lent(String borrower, long until) {}
}
