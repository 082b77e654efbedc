package org.aspenmoor.internal.usage;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.atomic.AtomicReference;
import org.aspenmoor.internal.duty.DutyLease;
import org.aspenmoor.internal.store.ObjectStore;
import org.aspenmoor.internal.store.StoreException;
import org.aspenmoor.internal.time.TimeSource;

/**
 * Decides the usage of each window once and reports it, as one entry for all. Its calls block; used by one thread.
 *
 * <p>Two reports with different counts for one window would be charged twice or disputed. A window is therefore decided
 * by the conditional write that also renews the lease, before it is sent. Whoever holds the lease next finds the decided
 * report and sends the same counts again if it may not have arrived. Where it is unknown whether a window was decided,
 * it is given up: after the store was restored from an older copy, which may lack the decision.
 */
public final class UsageDuty {
    /** Entries of a higher rank read the lease record only when a report is overdue. */
    private static final int MAX_STANDBY_RANK = 1;

    /** Interval at which a standby reads the lease record; the record has to be seen unchanged before a takeover. */
    private static final Duration OBSERVE_INTERVAL = Duration.ofSeconds(2);

    /** How long after the end of a window the first entry in order acts if no entry holds the lease. */
    private static final Duration OVERDUE_AFTER = Duration.ofMillis(2500);

    /** Additional time that each entry leaves to the one before it. */
    private static final Duration OVERDUE_AFTER_PER_RANK = Duration.ofMillis(1500);

    /**
     * How long a new holder collects counts before it decides a window. Before it held the lease, the others may not
     * have sent it any, and it would decide with its own counts only.
     */
    private static final Duration COLLECTING_TIME = Duration.ofSeconds(2);

    /** A window before all that can be due. */
    private static final long NO_WINDOW = Long.MIN_VALUE / 2;

    private static final Duration MIN_RETRY_DELAY = Duration.ofMillis(500);
    private static final Duration MAX_RETRY_DELAY = Duration.ofSeconds(4);

    /** Failures in a row after which a holder lets another entry try, which may reach the receiver. */
    private static final int MAX_FAILURES = 4;

    private final DutyLease lease;
    private final ObjectStore store;
    private final UsageReceiver receiver;
    private final UsageWindows windows;
    private final UsageListener listener;
    private final TimeSource time;
    private final long firstWindow;
    private final SortedMap<Long, UsageReport> unsent = new TreeMap<>();
    private final SortedSet<Long> accepted = new TreeSet<>();
    private long lastDecided;
    private long settled = -1;
    private boolean holder;
    private long holderSinceNanos;
    private int failures;
    private long notBeforeNanos;
    private long observedAtNanos;

    /**
     * Creates a duty that is not performed yet.
     *
     * @param firstWindow the window in which this process started
     */
    public UsageDuty(
            DutyLease lease,
            ObjectStore store,
            UsageReceiver receiver,
            UsageWindows windows,
            UsageListener listener,
            TimeSource time,
            long firstWindow) {
        this.lease = lease;
        this.store = store;
        this.receiver = receiver;
        this.windows = windows;
        this.listener = listener;
        this.time = time;
        this.firstWindow = firstWindow;
        this.lastDecided = firstWindow - 1;
        this.notBeforeNanos = time.monotonicNanos();
        this.observedAtNanos = time.monotonicNanos() - OBSERVE_INTERVAL.toNanos();
    }

    /** Returns whether this entry performed the duty last, so that it should receive the counts of the others. */
    public boolean holder() {
        return holder;
    }

    /** Returns the last window up to which nothing is left to do, as far as this entry knows; -1 if it knows none. */
    public long settled() {
        return settled;
    }

    /** Does what is due now. */
    public void advance(UsageSnapshot snapshot) throws InterruptedException {
        long now = time.monotonicNanos();
        if (!snapshot.eligible()) {
            holder = false;
            return;
        }
        settled = Math.max(settled, snapshot.settledByPeers());
        if (now - notBeforeNanos < 0) {
            return;
        }
        try {
            if (holder ? somethingToDo(snapshot) : overdue(snapshot)) {
                perform(snapshot);
            } else if (!holder && snapshot.rank() <= MAX_STANDBY_RANK) {
                observe(now);
            }
        } catch (StoreException failure) {
            listener.postponed("the store: " + failure.problem());
            failed(snapshot);
        }
    }

    private boolean somethingToDo(UsageSnapshot snapshot) {
        return lastToDecide(snapshot) > lastDecided || !unsent.isEmpty();
    }

    /** Returns the last window that this entry may decide now. */
    private long lastToDecide(UsageSnapshot snapshot) {
        boolean collected = holder && time.monotonicNanos() - holderSinceNanos >= COLLECTING_TIME.toNanos();
        return collected ? snapshot.lastDue() : NO_WINDOW;
    }

    private boolean overdue(UsageSnapshot snapshot) {
        long nextWindow = Math.max(settled, firstWindow - 1) + 1;
        Duration allowance = OVERDUE_AFTER.plus(OVERDUE_AFTER_PER_RANK.multipliedBy(snapshot.rank()));
        return nextWindow <= snapshot.lastDue()
                && snapshot.nowMillis() >= windows.endMillis(nextWindow) + allowance.toMillis();
    }

    private void observe(long now) throws StoreException {
        if (now - observedAtNanos >= OBSERVE_INTERVAL.toNanos()) {
            observedAtNanos = now;
            lease.observe();
        }
    }

    private void perform(UsageSnapshot snapshot) throws StoreException, InterruptedException {
        AtomicReference<UsageDecision> decision = new AtomicReference<>();
        Optional<Long> fencingNumber = lease.acquire(content -> {
            decision.set(decide(content, snapshot));
            return UsageRecordCodec.serialise(decision.get().next());
        });
        setHolder(fencingNumber.isPresent());
        if (!holder) {
            delayNextTry(MIN_RETRY_DELAY.multipliedBy(2));
            return;
        }
        stored(decision.get(), fencingNumber.get());
        send(fencingNumber.get(), snapshot);
        settled = Math.max(settled, unsent.isEmpty() ? lastDecided : unsent.firstKey() - 1);
    }

    private UsageDecision decide(String content, UsageSnapshot snapshot) {
        Optional<UsageRecord> stored = UsageRecordCodec.parse(content)
                .map(record -> new UsageRecord(
                        record.generation(),
                        record.lastDecided(),
                        record.unsent().stream()
                                .filter(report -> !accepted.contains(report.window()))
                                .toList()));
        long generation = store.generation();
        UsageRecord own = new UsageRecord(generation, lastDecided, List.copyOf(unsent.values()));
        return UsageDecision.of(
                stored, own, generation, windows.at(snapshot.nowMillis()), lastToDecide(snapshot), snapshot.totals());
    }

    private void stored(UsageDecision decision, long fencingNumber) {
        lastDecided = decision.next().lastDecided();
        unsent.clear();
        decision.next().unsent().forEach(report -> unsent.put(report.window(), report));
        decision.missed().forEach(listener::missed);
        decision.decided().forEach(report -> listener.decided(report, fencingNumber));
    }

    private void send(long fencingNumber, UsageSnapshot snapshot) throws InterruptedException {
        for (UsageReport report : List.copyOf(unsent.values())) {
            Duration remaining = lease.remaining();
            if (remaining.isZero()) {
                return;
            }
            switch (receiver.send(report, fencingNumber, remaining)) {
                case UsageReceiver.Result.Accepted arrived -> {
                    unsent.remove(report.window());
                    accepted.add(report.window());
                    failures = 0;
                    listener.accepted(report, fencingNumber);
                }
                case UsageReceiver.Result.Failed failure -> {
                    listener.notAccepted(report, fencingNumber, failure.reason());
                    failed(snapshot);
                    return;
                }
            }
        }
        accepted.headSet(lastDecided - UsageLedger.MAX_WINDOWS).clear();
    }

    private void failed(UsageSnapshot snapshot) {
        failures++;
        if (failures >= MAX_FAILURES && snapshot.otherEligible() > 0) {
            failures = 0;
            holder = false;
            delayNextTry(lease.takeoverDelay().multipliedBy(2));
            return;
        }
        Duration delay = MIN_RETRY_DELAY.multipliedBy(1L << Math.min(failures - 1, MAX_FAILURES));
        delayNextTry(delay.compareTo(MAX_RETRY_DELAY) > 0 ? MAX_RETRY_DELAY : delay);
    }

    private void setHolder(boolean granted) {
        if (granted && !holder) {
            holderSinceNanos = time.monotonicNanos();
        }
        holder = granted;
    }

    private void delayNextTry(Duration delay) {
        notBeforeNanos = time.monotonicNanos() + delay.toNanos();
    }
}
