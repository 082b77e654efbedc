package org.aspenmoor.internal.serving.limit;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeSet;
import org.aspenmoor.internal.serving.BackendServer;
import org.aspenmoor.internal.serving.ReportInterval;
import org.aspenmoor.internal.serving.entries.KnownEntries;

/**
 * One incarnation of a server: its limit, the slots of it that this entry may use, and the claims of the other entries.
 * Confined to one thread; times are nanoseconds of the monotonic clock.
 */
final class LimitedServer {
    /**
     * How long a loan lasts, as a multiple of how long a report counts. It is renewed with each report, and a few of these
     * may be lost in succession.
     */
    private static final int RETENTIONS_PER_LOAN = 2;

    private static final LimitSlots NO_SLOTS = new LimitSlots(0, 0, 0);

    private final BackendServer server;
    private final KnownEntries entries;
    private final double initialRequests;
    private final SlotRanking ranking;
    private final LentSlots lentSlots;
    private final KnownLimit limit = new KnownLimit();
    private final DemandClass demandClass = new DemandClass();
    private final Map<String, ReceivedClaim> claims = new HashMap<>();
    private final BorrowedSlots borrowedSlots = new BorrowedSlots();
    private LimitSlots slots = NO_SLOTS;
    private Set<Integer> ownSlots = Set.of();
    private long ownSlotsRevision = -1;
    private ShareBucket bucket = new ShareBucket(0, 0);

    /**
     * Creates a server that has stated nothing.
     *
     * @param initialRequests what this entry may send when a limit begins, as a part of a request
     */
    LimitedServer(BackendServer server, KnownEntries entries, double initialRequests) {
        this.server = server;
        this.entries = entries;
        this.initialRequests = initialRequests;
        this.ranking = new SlotRanking(server.id());
        this.lentSlots = new LentSlots(ranking);
    }

    BackendServer server() {
        return server;
    }

    KnownLimit limit() {
        return limit;
    }

    /**
     * Adds what has become available of this entry's slots since the last call, and determines the slots that it may use
     * now.
     */
    ShareBucket refresh(long now) {
        OptionalLong expiry = borrowedSlots.nextExpiry(now);
        while (expiry.isPresent()) {
            bucket.refill(expiry.getAsLong());
            borrowedSlots.expire(expiry.getAsLong());
            useSlots(expiry.getAsLong());
            expiry = borrowedSlots.nextExpiry(now);
        }
        bucket.refill(now);
        useSlots(now);
        return bucket;
    }

    private void useSlots(long now) {
        LimitSlots divided = limit.requestsPerSecond().map(LimitSlots::of).orElse(NO_SLOTS);
        if (!divided.equals(slots) || ownSlotsRevision != entries.revision()) {
            slots = divided;
            ownSlots = ownedSlots();
            ownSlotsRevision = entries.revision();
        }
        bucket.use(slots, usableSlots(now));
    }

    private Set<Integer> ownedSlots() {
        Set<String> names = new TreeSet<>(entries.others());
        names.add(entries.own());
        Set<Integer> owned = new TreeSet<>();
        for (int slot = 0; slot < slots.count(); slot++) {
            if (ranking.owner(slot, names).equals(entries.own())) {
                owned.add(slot);
            }
        }
        return owned;
    }

    private int usableSlots(long now) {
        boolean mayUseOwn = entries.mayUseOwnPart(loanDuration(), now);
        int usable = 0;
        for (int slot = 0; slot < slots.count(); slot++) {
            boolean own = mayUseOwn && ownSlots.contains(slot) && !lentSlots.contains(slot);
            if (own || borrowedSlots.slots().contains(slot)) {
                usable++;
            }
        }
        return usable;
    }

    /** Starts with a part of a request when a limit begins. */
    void startBucket(long now) {
        bucket = new ShareBucket(initialRequests, now);
        useSlots(now);
    }

    /** Records what another entry reports: its claim, and the slots that it lends to this one. */
    void reported(String entry, StatedLimit reported, long now) {
        if (reported.requestsPerSecond().isEmpty()) {
            claims.remove(entry);
            return;
        }
        claims.put(entry, new ReceivedClaim(reported.claim(), now));
        List<SlotLoan> loans = reported.loans().stream()
                .filter(loan -> loan.borrower().equals(entries.own()))
                .toList();
        if (!loans.isEmpty()) {
            refresh(now);
            loans.forEach(loan -> borrowedSlots.lent(loan, now));
            useSlots(now);
        }
    }

    /** Returns the claims of the other entries that are repeated regularly. */
    Collection<ReceivedClaim> currentClaims(long now) {
        long retention = ReportInterval.retention(entries.count() - 1).toNanos();
        claims.values().removeIf(claim -> now - claim.receivedAt() > retention);
        return claims.values();
    }

    /** Returns what to report to the other entries; empty if there is no limit to speak of. */
    Optional<StatedLimit> toReport(double demand, long now) {
        return limit.reportableAge(now)
                .map(age -> new StatedLimit(
                        server.id(),
                        server.startedAt(),
                        limit.requestsPerSecond(),
                        age,
                        new ShareClaim(demand, demandClass.update(demand), now),
                        lend(now)));
    }

    private List<SlotLoan> lend(long now) {
        refresh(now);
        if (!entries.mayUseOwnPart(loanDuration(), now)) {
            return List.of();
        }
        currentClaims(now);
        Map<String, Double> weights = new HashMap<>();
        claims.forEach((entry, claim) ->
                weights.put(entry, DemandClass.weight(claim.claim().demandClass())));
        weights.put(entries.own(), DemandClass.weight(demandClass.current()));
        List<SlotLoan> loans = lentSlots.update(ownSlots, entries.own(), weights, claims, loanDuration(), now);
        useSlots(now);
        return loans;
    }

    private Duration loanDuration() {
        return ReportInterval.retention(entries.count() - 1).multipliedBy(RETENTIONS_PER_LOAN);
    }
}
