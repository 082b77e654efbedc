package org.aspenmoor.internal.gateway.usage;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import org.aspenmoor.internal.duty.DutyLease;
import org.aspenmoor.internal.duty.DutyStatus;
import org.aspenmoor.internal.store.ObjectKey;
import org.aspenmoor.internal.store.ObjectKind;
import org.aspenmoor.internal.time.TimeSource;
import org.aspenmoor.internal.usage.EntryUsage;
import org.aspenmoor.internal.usage.UsageDuty;
import org.aspenmoor.internal.usage.UsageListener;
import org.aspenmoor.internal.usage.UsageReport;
import org.aspenmoor.internal.usage.UsageWindows;

/** One incarnation of an entry in {@link UsageSimulation}: the classes that count and report, without network. */
final class SimulatedDutyEntry implements TimeSource {
    private static final ObjectKey KEY = new ObjectKey(ObjectKind.ORDER_RIGHT, ObjectKey.PLATFORM_NAMESPACE, "usage");
    private static final Duration PEER_TIMEOUT = Duration.ofMillis(1500);

    final String name;
    final SimulatedDutyStore store;
    final UsageTracker tracker;
    final UsageDuty duty;
    long wallErrorMillis;
    long frozenNanos;
    long frozenUntilNanos;
    boolean running;
    private final UsageSimulation simulation;
    private final Map<String, DutyStatus> statuses = new HashMap<>();
    private final Map<String, Long> statusesReceivedAt = new HashMap<>();

    SimulatedDutyEntry(String name, UsageSimulation simulation, long wallErrorMillis) {
        this.name = name;
        this.simulation = simulation;
        this.wallErrorMillis = wallErrorMillis;
        this.store = new SimulatedDutyStore(simulation, this);
        UsageWindows windows = new UsageWindows(UsageSimulation.WINDOW);
        this.tracker = new UsageTracker(name, windows, () -> !simulation.cutFromStore(this), this::activePeers, this);
        this.duty = new UsageDuty(
                new DutyLease(store, KEY, name, UsageSimulation.PAUSE, this),
                store,
                (report, number, timeout) -> simulation.send(this, report, number, timeout),
                windows,
                new MissedWindows(),
                this,
                tracker.firstWindow());
    }

    void receive(String peer, DutyStatus status) {
        statuses.put(peer, status);
        statusesReceivedAt.put(peer, monotonicNanos());
        tracker.peerReported(peer, status);
    }

    void receive(EntryUsage usage) {
        tracker.usageReceived(usage);
    }

    void advanceDuty() throws InterruptedException {
        duty.advance(tracker.snapshot());
        tracker.dutyAdvanced(duty.holder(), duty.settled());
    }

    boolean frozen() {
        return simulation.nowNanos() < frozenUntilNanos;
    }

    @Override
    public long monotonicNanos() {
        return simulation.nowNanos() - frozenNanos;
    }

    @Override
    public Instant wallClockTime() {
        return Instant.ofEpochMilli(simulation.trueMillis() + wallErrorMillis);
    }

    private SortedMap<String, DutyStatus> activePeers() {
        SortedMap<String, DutyStatus> active = new TreeMap<>();
        statuses.forEach((peer, status) -> {
            if (monotonicNanos() - statusesReceivedAt.get(peer) <= PEER_TIMEOUT.toNanos()) {
                active.put(peer, status);
            }
        });
        return active;
    }

    private final class MissedWindows implements UsageListener {
        @Override
        public void decided(UsageReport report, long fencingNumber) {}

        @Override
        public void accepted(UsageReport report, long fencingNumber) {}

        @Override
        public void notAccepted(UsageReport report, long fencingNumber, String reason) {}

        @Override
        public void missed(long window, String reason) {
            simulation.missed(window, reason);
        }

        @Override
        public void postponed(String reason) {}
    }
}
