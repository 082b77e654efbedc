package org.aspenmoor.internal.gateway.usage;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeSet;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.aspenmoor.internal.duty.DutyStatus;
import org.aspenmoor.internal.time.TimeSource;
import org.aspenmoor.internal.time.TrueTimeEstimator;
import org.aspenmoor.internal.usage.EntryUsage;
import org.aspenmoor.internal.usage.UsageCounter;
import org.aspenmoor.internal.usage.UsageLedger;
import org.aspenmoor.internal.usage.UsageReport;
import org.aspenmoor.internal.usage.UsageSnapshot;
import org.aspenmoor.internal.usage.UsageWindows;

/**
 * What this entry counts of usage and what it knows of the counts of others. Confined to the event loop.
 *
 * <p>Each entry sends its counts to the entry that performs the duty and to the first ones in order, which may perform
 * it next. Counts are cumulative and repeated until their window is settled, so a lost datagram or a lost receiver loses
 * nothing. An entry that is killed takes with it what it has counted since its last message.
 */
public final class UsageTracker {
    /** Answers to requests that began to run shortly before the end of a window arrive within this time. */
    private static final Duration SETTLING_TIME = Duration.ofMillis(400);

    /** How long after the end of a window the counts of entries that send none are waited for. */
    private static final Duration MAX_WAIT_FOR_COUNTS = Duration.ofSeconds(3);

    /**
     * The same for entries that counted the window before and are not heard any more. They may go on counting while
     * this entry is cut off from them, and the window would be decided without their counts.
     */
    private static final Duration MAX_WAIT_FOR_SILENT_ENTRIES = Duration.ofSeconds(6);

    /** Number of entries, the first in order, that receive all counts besides the one that performs the duty. */
    private static final int STANDBY_COLLECTORS = 2;

    private final String entry;
    private final UsageWindows windows;
    private final BooleanSupplier eligible;
    private final Supplier<SortedMap<String, DutyStatus>> peers;
    private final TimeSource clocks;
    private final TrueTimeEstimator trueTime;
    private final UsageCounter counter;
    private final UsageLedger ledger = new UsageLedger();
    private final long firstWindow;
    private boolean collects;
    private long settled = -1;

    /**
     * Creates a tracker that has counted nothing.
     *
     * @param eligible returns whether this entry may perform duties
     * @param peers returns what the other active entries state about duties
     */
    public UsageTracker(
            String entry,
            UsageWindows windows,
            BooleanSupplier eligible,
            Supplier<SortedMap<String, DutyStatus>> peers,
            TimeSource clocks) {
        this.entry = entry;
        this.windows = windows;
        this.eligible = eligible;
        this.peers = peers;
        this.clocks = clocks;
        this.trueTime = new TrueTimeEstimator(clocks);
        this.counter = new UsageCounter(entry, clocks.wallClockTime().toEpochMilli());
        this.firstWindow = windows.at(trueTime.currentMillis());
    }

    /**
     * Counts a request that a server has begun to run.
     *
     * @param beganAtNanos when it began, on the monotonic clock
     */
    public void requestBegan(String organisation, long beganAtNanos) {
        counter.add(windows.at(trueTime.millisAt(beganAtNanos)), organisation);
    }

    /** Records what a peer's report states. */
    public void peerReported(String peer, DutyStatus status) {
        trueTime.sampleReceived(peer, status.wallClockMillis());
        settled = Math.max(settled, Math.min(status.settledUsageWindow(), currentWindow()));
    }

    /** Adds the counts of another entry. Windows that cannot be counted now are ignored, since they would evict others. */
    public void usageReceived(EntryUsage usage) {
        if (usage.window() > settled && usage.window() <= currentWindow() + 1) {
            ledger.add(usage);
        }
    }

    /** Returns what this entry states about duties in its reports. */
    public DutyStatus status() {
        return new DutyStatus(
                eligible.getAsBoolean(),
                collects,
                settled,
                clocks.wallClockTime().toEpochMilli());
    }

    /** Returns this entry's counts of all windows that are not settled. */
    public List<EntryUsage> unsettledUsage() {
        long now = trueTime.currentMillis();
        long current = windows.at(now);
        long first = Math.max(Math.max(settled + 1, firstWindow), current - UsageLedger.MAX_WINDOWS);
        long lastComplete = windows.at(now - SETTLING_TIME.toMillis()) - 1;
        return counter.usage(first, current, lastComplete);
    }

    /** Returns the entries that this entry's counts are sent to. */
    public Set<String> collectors() {
        SortedMap<String, DutyStatus> statuses = peers.get();
        Set<String> collectors = new TreeSet<>(namesOf(statuses, DutyStatus::collectsUsage));
        namesOf(statuses, DutyStatus::eligible).stream()
                .limit(STANDBY_COLLECTORS)
                .forEach(collectors::add);
        return collectors;
    }

    /** Returns the window in which this process started. */
    public long firstWindow() {
        return firstWindow;
    }

    /** Returns what the duty needs to know now. */
    public UsageSnapshot snapshot() {
        unsettledUsage().forEach(ledger::add);
        SortedMap<String, DutyStatus> statuses = peers.get();
        List<String> otherEligible = namesOf(statuses, DutyStatus::eligible);
        int rank = (int)
                otherEligible.stream().filter(peer -> peer.compareTo(entry) < 0).count();
        long lastDue = lastDue(statuses.keySet());
        Map<Long, UsageReport> totals = new HashMap<>();
        for (long window = Math.max(settled, lastDue - UsageLedger.MAX_WINDOWS) + 1; window <= lastDue; window++) {
            if (ledger.known(window)) {
                totals.put(window, new UsageReport(window, ledger.totals(window)));
            }
        }
        return new UsageSnapshot(
                trueTime.currentMillis(),
                eligible.getAsBoolean(),
                rank,
                otherEligible.size(),
                settled,
                lastDue,
                totals);
    }

    /** Applies what the duty has achieved. */
    public void dutyAdvanced(boolean holder, long settledWindow) {
        collects = holder;
        settled = Math.max(settled, settledWindow);
    }

    /** Returns the estimate of the true time, for metrics. */
    public TrueTimeEstimator trueTime() {
        return trueTime;
    }

    /** Returns the names of the peers whose status has a property, in order. */
    private static List<String> namesOf(SortedMap<String, DutyStatus> statuses, Predicate<DutyStatus> property) {
        return statuses.entrySet().stream()
                .filter(peer -> property.test(peer.getValue()))
                .map(Map.Entry::getKey)
                .toList();
    }

    private long currentWindow() {
        return windows.at(trueTime.currentMillis());
    }

    /** Returns the last window up to which counts are complete, or have been waited for long enough. */
    private long lastDue(Set<String> activePeers) {
        long now = trueTime.currentMillis();
        long lastEnded = windows.at(now - SETTLING_TIME.toMillis()) - 1;
        long due = windows.at(now - MAX_WAIT_FOR_SILENT_ENTRIES.toMillis()) - 1;
        while (due < lastEnded && isDue(due + 1, activePeers, now)) {
            due++;
        }
        return due;
    }

    private boolean isDue(long window, Set<String> activePeers, long now) {
        if (!ledger.complete(window, ledger.completeEntries(window - 1))) {
            return false;
        }
        return ledger.complete(window, activePeers)
                || now >= windows.endMillis(window) + MAX_WAIT_FOR_COUNTS.toMillis();
    }
}
