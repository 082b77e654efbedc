package org.aspenmoor.internal.bench.soak;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import org.aspenmoor.internal.authority.SlotTimings;
import org.aspenmoor.internal.engine.FencedOrder;
import org.aspenmoor.internal.fake.FakeStore;
import org.aspenmoor.internal.membership.HostListEntry;
import org.aspenmoor.internal.time.ManualTimeSource;

/** All processes of a run, the fakes between them, and the clock; one step moves a few of them. */
final class SoakWorld {
    private static final int ENTRIES = 3;
    private static final int ENGINES = 4;
    private static final int SERVICES = 2;
    private static final int ACTS_OF_STEP = 4;
    private static final int LONGEST_STEP_MILLISECONDS = 250;
    private static final int SLICES_OF_CALL = 10;
    private static final int DEEPEST_CALLS = 3;
    private static final double WRITE_LANDS = 0.05;
    private static final double ORDER_FINISHES = 0.1;
    private static final Duration LIST_REFRESH = Duration.ofSeconds(5);

    private final ManualTimeSource time = new ManualTimeSource();
    private final SoakEvents events = new SoakEvents(time);
    private final FakeStore store = new FakeStore();
    private final FaultLog log = new FaultLog();
    private final Violations violations = new Violations();
    private final OrderWatch orders = new OrderWatch(this, store);
    private final CallLedger ledger = new CallLedger(violations);
    private final StreamCounts streams = new StreamCounts();
    private final FrameWire frames = new FrameWire(this);
    private final List<SoakHouse> houses = new ArrayList<>();
    private final SplittableRandom random;
    private final CallTraffic calls;
    private List<HostListEntry> hostList = List.of();
    private long hostListDue;
    private long storeOutUntil;
    private boolean outageUnnoticed;
    private boolean loseNextCall;
    private boolean loseNextCallAnswer;
    private int callDepth;

    SoakWorld(long seed, List<String> teams) {
        this.random = new SplittableRandom(seed);
        this.calls = new CallTraffic(this);
        store.addWriteListener(orders::written);
        for (String team : teams) {
            SoakHouse house = new SoakHouse(this, team);
            houses.add(house);
            house.start(ENTRIES, ENGINES, SERVICES);
        }
    }

    /** Makes one step. */
    void step() {
        advance(Duration.ofMillis(1 + random.nextInt(LONGEST_STEP_MILLISECONDS)));
        for (int act = 0; act < ACTS_OF_STEP; act++) {
            anyProcess().act(now());
        }
        calls.next();
        moveEngines();
        houses.forEach(SoakHouse::tidy);
        houses.forEach(SoakHouse::checkPlanners);
    }

    /** Lets time pass while some process waits for an answer; others go on. */
    void passTimeInCall(Duration duration) {
        callDepth++;
        try {
            for (int slice = 0; slice < SLICES_OF_CALL; slice++) {
                advance(duration.dividedBy(SLICES_OF_CALL));
                if (callDepth < DEEPEST_CALLS) {
                    anyProcess().act(now());
                    anyProcess().act(now());
                    moveEngines();
                }
            }
        } finally {
            callDepth--;
        }
    }

    /** Lets a message reach a process after a while. */
    void schedule(Duration delay, SoakProcess process, Runnable message) {
        events.schedule(delay, () -> process.deliver(message));
    }

    /** Lets an order that is held up arrive, within its longest time on the wire or after it. */
    void scheduleLateOrder(FencedOrder order, boolean beyondWindow) {
        long longest = SlotTimings.DEFAULT.maxTransitTime().toMillis();
        long delay = beyondWindow ? longest + 1 + random.nextLong(3 * longest) : random.nextLong(longest + 1);
        events.schedule(
                Duration.ofMillis(delay),
                () -> engines().forEach(site -> site.engine().deliverDelayed(order)));
    }

    List<HostListEntry> laggingHostList() {
        if (now() >= hostListDue) {
            hostList = houses.stream()
                    .flatMap(house -> house.services().stream())
                    .map(EntryMembers::line)
                    .toList();
            hostListDue = now() + LIST_REFRESH.toNanos();
        }
        return hostList;
    }

    void stopHostList(Duration duration) {
        hostListDue = now() + duration.toNanos();
    }

    void stopStore(Duration duration) {
        storeOutUntil = now() + duration.toNanos();
        outageUnnoticed = true;
    }

    /** Says whether the store is out; the first process that notices makes it count as a fault. */
    boolean storeIsOut() {
        if (now() >= storeOutUntil) {
            return false;
        }
        if (outageUnnoticed) {
            outageUnnoticed = false;
            log.happened(FaultKind.STORE_OUTAGE);
        }
        return true;
    }

    void loseNextCall() {
        loseNextCall = true;
    }

    void loseNextCallAnswer() {
        loseNextCallAnswer = true;
    }

    boolean takeCallLoss() {
        boolean lost = loseNextCall;
        loseNextCall = false;
        if (lost) {
            log.happened(FaultKind.CALL_LOST);
        }
        return lost;
    }

    boolean takeCallAnswerLoss() {
        boolean lost = loseNextCallAnswer;
        loseNextCallAnswer = false;
        if (lost) {
            log.happened(FaultKind.CALL_ANSWER_LOST);
        }
        return lost;
    }

    long now() {
        return time.monotonicNanos();
    }

    ManualTimeSource time() {
        return time;
    }

    FakeStore store() {
        return store;
    }

    FaultLog log() {
        return log;
    }

    Violations violations() {
        return violations;
    }

    OrderWatch orders() {
        return orders;
    }

    CallLedger ledger() {
        return ledger;
    }

    StreamCounts streams() {
        return streams;
    }

    FrameWire frames() {
        return frames;
    }

    CallTraffic calls() {
        return calls;
    }

    List<SoakHouse> houses() {
        return houses;
    }

    RandomGenerator random() {
        return random;
    }

    RandomGenerator newRandom() {
        return random.split();
    }

    boolean chance(double probability) {
        return random.nextDouble() < probability;
    }

    Duration latency() {
        return Duration.ofMillis(1 + random.nextInt(20));
    }

    EntryProcess anyEntry() {
        return any(houses.get(random.nextInt(houses.size())).entries());
    }

    List<SoakEngine> engines() {
        return houses.stream().flatMap(house -> house.engines().stream()).toList();
    }

    private SoakProcess anyProcess() {
        SoakHouse house = any(houses);
        List<SoakProcess> processes = new ArrayList<>(house.entries());
        house.engines().forEach(engine -> processes.addAll(engine.agents()));
        house.services().forEach(service -> processes.add(service.current()));
        return any(processes);
    }

    private <T> T any(List<T> choices) {
        return choices.get(random.nextInt(choices.size()));
    }

    private void advance(Duration duration) {
        events.advance(duration);
        if (chance(WRITE_LANDS)) {
            store.deliverDelayed();
        }
    }

    private void moveEngines() {
        for (SoakEngine site : engines()) {
            if (site.engine().isBusy() && chance(ORDER_FINISHES)) {
                site.endOrder();
            }
        }
    }
}
