package org.aspenmoor.internal.serving.limit;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;

/**
 * The slots of a server that other entries let this one use for a while. Confined to one thread; times are nanoseconds of
 * the monotonic clock.
 */
final class BorrowedSlots {
    private final Map<Integer, Long> expiries = new HashMap<>();

    /** Records a loan; one that is already over, or answers a claim of an earlier process, is ignored. */
    void lent(SlotLoan loan, long now) {
        long expiry = loan.claimSentAt() + loan.duration().toNanos();
        if (loan.claimSentAt() <= now && expiry > now) {
            expiries.merge(loan.slot(), expiry, Math::max);
        }
    }

    /** Returns when the next loan ends, if that is not later than the given time. */
    OptionalLong nextExpiry(long now) {
        return expiries.values().stream()
                .mapToLong(Long::longValue)
                .filter(expiry -> expiry <= now)
                .min();
    }

    /** Removes the loans that end at the given time or before. */
    void expire(long at) {
        expiries.values().removeIf(expiry -> expiry <= at);
    }

    Set<Integer> slots() {
        return expiries.keySet();
    }
}
