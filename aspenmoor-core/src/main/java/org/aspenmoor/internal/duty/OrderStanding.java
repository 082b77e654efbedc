package org.aspenmoor.internal.duty;

/**
 * What decides whether an entry gives orders to engines: one that reaches the store, of these the one that has held the
 * order lease last, and as long as none has, the first by name.
 *
 * @param entry the entry's name
 * @param storeReached whether it reaches the store, without which it cannot get the lease
 * @param lastFencingNumber the fencing number under which it held the lease last; 0 if it never did
 */
public record OrderStanding(String entry, boolean storeReached, long lastFencingNumber) {
    /**
     * Returns whether this entry gives orders rather than the other. An entry that gives orders goes on doing so when
     * one before it by name returns: a lease that changes its holder may not be used for seconds.
     */
    public boolean precedes(OrderStanding other) {
        if (storeReached != other.storeReached) {
            return storeReached;
        }
        if (lastFencingNumber != other.lastFencingNumber) {
            return lastFencingNumber > other.lastFencingNumber;
        }
        return entry.compareTo(other.entry) < 0;
    }
}
