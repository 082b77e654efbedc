package org.aspenmoor.internal.gateway.usage;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.SortedMap;
import java.util.TreeMap;
import org.aspenmoor.internal.store.InMemoryObjectStore;
import org.aspenmoor.internal.store.StoreException;
import org.aspenmoor.internal.store.StoredObject;
import org.aspenmoor.internal.usage.EntryUsage;
import org.aspenmoor.internal.usage.UsageReceiver;
import org.aspenmoor.internal.usage.UsageReport;

/**
 * Several entries that count and report usage, on a simulated clock. Between any two steps of an entry it may be killed
 * or suspended; messages and responses are lost; clocks jump; store and receiver fail and the store loses its latest
 * writes. Which of these happen depends on the options.
 */
final class UsageSimulation {
    static final Duration WINDOW = Duration.ofSeconds(5);
    static final Duration PAUSE = Duration.ofSeconds(3);

    private static final int ENTRIES = 5;
    private static final long TICK_MILLIS = 100;
    private static final int STATUS_TICKS = 3;
    private static final int USAGE_TICKS = 5;
    /** A whole number of windows, so that the first window starts with the simulation. */
    private static final long START_MILLIS = WINDOW.toMillis() * 356_000_000L;

    private static final int MAX_COPIES = 20;

    private final Random random;
    private final Options options;
    private final DutyReceiverStandin receiver;
    private final InMemoryObjectStore store = new InMemoryObjectStore();
    private final Deque<List<StoredObject>> copies = new ArrayDeque<>();
    private final List<StoreWrite> lateWrites = new ArrayList<>();
    private final List<SimulatedDutyEntry> entries = new ArrayList<>();
    private final Map<Integer, Long> restartAtTick = new HashMap<>();
    private final SortedMap<Long, Long> truth = new TreeMap<>();
    private final SortedMap<Long, String> missed = new TreeMap<>();
    private final SortedMap<Long, String> missedThoughCounted = new TreeMap<>();
    private long tick;
    private boolean faults = true;
    private boolean storeDown;
    private boolean receiverDown;
    private int cutEntry = -1;
    private boolean inCall;

    /**
     * Which faults happen.
     *
     * @param kills entries are killed between any two steps, and suspended
     * @param outages the store and the receiver fail, for all or for one entry
     * @param rewinds the store is restored from older copies
     * @param clockJumps the wall clocks of a minority jump
     */
    record Options(boolean kills, boolean outages, boolean rewinds, boolean clockJumps) {}

    /** A write that may take effect later than its sender expects. */
    interface StoreWrite {
        StoredObject apply() throws StoreException;
    }

    UsageSimulation(long seed, Options options) {
        this.random = new Random(seed);
        this.options = options;
        this.receiver = new DutyReceiverStandin(PAUSE, "seed " + seed + " " + options);
        for (int number = 0; number < ENTRIES; number++) {
            entries.add(new SimulatedDutyEntry("entry-" + number, this, random.nextInt(40) - 20));
        }
    }

    /** Runs with faults, and then without any until all windows should be settled. */
    void run(Duration withFaults, Duration withoutFaults) {
        runFor(withFaults);
        faults = false;
        storeDown = false;
        receiverDown = false;
        cutEntry = -1;
        runFor(withoutFaults);
    }

    DutyReceiverStandin receiver() {
        return receiver;
    }

    /** Returns how many requests really began in each window. */
    SortedMap<Long, Long> truth() {
        return truth;
    }

    /** Returns the windows that entries have given up, with the reason. */
    SortedMap<Long, String> missed() {
        return missed;
    }

    /** Returns the windows that were given up although an entry that counted in them still ran, with its name. */
    SortedMap<Long, String> missedThoughCounted() {
        return missedThoughCounted;
    }

    long nowNanos() {
        return Duration.ofMillis(tick * TICK_MILLIS).toNanos();
    }

    long trueMillis() {
        return START_MILLIS + tick * TICK_MILLIS;
    }

    InMemoryObjectStore store() {
        return store;
    }

    boolean cutFromStore(SimulatedDutyEntry entry) {
        return storeDown || entries.indexOf(entry) == cutEntry;
    }

    boolean writeTakesEffectLate() {
        return faults && options.outages() && random.nextInt(20) == 0;
    }

    boolean responseIsLost() {
        return faults && options.outages() && random.nextInt(20) == 0;
    }

    void addLateWrite(StoreWrite write) {
        lateWrites.add(write);
    }

    void missed(long window, String reason) {
        missed.put(window, reason);
        entries.stream()
                .filter(entry -> !restartAtTick.containsKey(entries.indexOf(entry)))
                .filter(entry -> entry.tracker().firstWindow() <= window)
                .forEach(entry -> missedThoughCounted.put(window, entry.name()));
    }

    /** Lets the entry be killed here, or lets time pass in which the others go on. */
    void step(SimulatedDutyEntry entry) {
        if (faults && options.kills() && random.nextInt(60) == 0) {
            throw new KilledException();
        }
        if (faults && options.kills() && !inCall && random.nextInt(80) == 0) {
            inCall = true;
            int ticks = random.nextInt(100);
            Duration pause = Duration.ofMillis(ticks * TICK_MILLIS);
            boolean suspended = random.nextBoolean();
            entry.freeze(pause);
            for (int passed = 0; passed < ticks; passed++) {
                advanceTick();
            }
            if (suspended) {
                entry.clockStoodStill(pause);
            }
            inCall = false;
        }
    }

    UsageReceiver.Result send(SimulatedDutyEntry entry, UsageReport report, long number, Duration timeout) {
        boolean lost = faults && options.outages() && random.nextInt(10) == 0;
        if (receiverDown) {
            return new UsageReceiver.Result.Failed("no answer within " + timeout);
        }
        Duration sinceThaw = Duration.ofNanos(nowNanos() - entry.thawedAtNanos());
        receiver.accept(report, entry.name(), number, nowNanos(), sinceThaw);
        step(entry);
        return lost ? new UsageReceiver.Result.Failed("the answer was lost") : new UsageReceiver.Result.Accepted();
    }

    private void runFor(Duration duration) {
        long end = tick + duration.toMillis() / TICK_MILLIS;
        while (tick < end) {
            advanceTick();
        }
    }

    private void advanceTick() {
        tick++;
        injectFaults();
        for (int index = 0; index < ENTRIES; index++) {
            SimulatedDutyEntry entry = entries.get(index);
            if (restartAtTick.getOrDefault(index, 0L) > tick) {
                continue;
            }
            if (restartAtTick.remove(index) != null) {
                entry = new SimulatedDutyEntry(entry.name(), this, entry.wallErrorMillis());
                entries.set(index, entry);
            }
            if (entry.beginAction()) {
                act(entry, index);
            }
        }
    }

    private void act(SimulatedDutyEntry entry, int index) {
        try {
            countRequests(entry);
            if ((tick + index) % STATUS_TICKS == 0) {
                sendToOthers(entry);
            }
            if ((tick + index) % USAGE_TICKS == 0) {
                sendUsage(entry);
                entry.advanceDuty();
            }
        } catch (KilledException killed) {
            restartAtTick.put(index, tick + 5 + random.nextInt(30));
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        } finally {
            entry.endAction();
        }
    }

    /** Requests begin in the middle of a tick, so that clocks that differ a little agree on their window. */
    private void countRequests(SimulatedDutyEntry entry) {
        long halfTickNanos = Duration.ofMillis(TICK_MILLIS / 2).toNanos();
        int requests = random.nextInt(3);
        for (int number = 0; number < requests; number++) {
            entry.tracker().requestBegan("organisation-" + random.nextInt(4), entry.monotonicNanos() + halfTickNanos);
            truth.merge((trueMillis() + TICK_MILLIS / 2) / WINDOW.toMillis(), 1L, Long::sum);
        }
    }

    private void sendToOthers(SimulatedDutyEntry sender) {
        for (SimulatedDutyEntry other : entries) {
            if (other != sender && !messageLost()) {
                other.receive(sender.name(), sender.tracker().status());
            }
        }
    }

    private void sendUsage(SimulatedDutyEntry sender) {
        List<EntryUsage> usages = sender.tracker().unsettledUsage();
        for (SimulatedDutyEntry other : entries) {
            if (sender.tracker().collectors().contains(other.name()) && !messageLost()) {
                usages.forEach(other::receive);
            }
        }
    }

    private boolean messageLost() {
        return faults && random.nextInt(10) == 0;
    }

    private void injectFaults() {
        if (!lateWrites.isEmpty() && random.nextInt(20) == 0) {
            applyLateWrite(lateWrites.removeFirst());
        }
        if (!faults) {
            return;
        }
        if (options.outages() && random.nextInt(100) == 0) {
            storeDown = random.nextInt(3) == 0;
            receiverDown = random.nextInt(3) == 0;
            cutEntry = random.nextInt(2 * ENTRIES) - ENTRIES;
        }
        if (options.clockJumps() && random.nextInt(100) == 0) {
            entries.get(random.nextInt(ENTRIES / 2)).setWallErrorMillis(random.nextLong(20_000) - 10_000);
        }
        if (options.rewinds()) {
            rewindStore();
        }
    }

    private void rewindStore() {
        if (tick % 5 == 0) {
            copies.addFirst(store.snapshot());
        }
        if (copies.size() > MAX_COPIES) {
            copies.removeLast();
        }
        if (!copies.isEmpty() && random.nextInt(300) == 0) {
            store.restoreFrom(List.copyOf(copies).get(random.nextInt(copies.size())));
            copies.clear();
        }
    }

    private static void applyLateWrite(StoreWrite write) {
        try {
            write.apply();
        } catch (StoreException conflict) {
            // The object has changed since; the sender no longer waits.
        }
    }

    /** The process of an entry ends. */
    private static final class KilledException extends RuntimeException {
        private static final long serialVersionUID = 1;
    }
}
