package org.aspenmoor.internal.bench.soak;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.aspenmoor.internal.authority.EngineRecord;
import org.aspenmoor.internal.authority.EngineRecordCodec;
import org.aspenmoor.internal.authority.PlanCodec;
import org.aspenmoor.internal.authority.PlanRecord;
import org.aspenmoor.internal.authority.PlanVersion;
import org.aspenmoor.internal.authority.RecordedOrder;
import org.aspenmoor.internal.authority.SlotTimings;
import org.aspenmoor.internal.engine.FencedOrder;
import org.aspenmoor.internal.fake.FakeStore;
import org.aspenmoor.internal.fake.OrderArrival;
import org.aspenmoor.internal.fake.StoreWrite;
import org.aspenmoor.internal.store.ObjectKey;
import org.aspenmoor.internal.store.ObjectKind;
import org.aspenmoor.internal.store.StoreMalformedException;
import org.aspenmoor.internal.store.StoredObject;

/**
 * Asserts that no engine begins an order that its record does not name as the one unsettled order, and that plans and
 * records only move forward.
 */
final class OrderWatch {
    private final SoakWorld world;
    private final FakeStore store;
    private final Map<String, Long> sentAtNanoseconds = new HashMap<>();
    private final Map<String, PlanVersion> lastPlanOfEngine = new HashMap<>();
    private final Map<String, Long> highestBegun = new HashMap<>();
    private final Set<String> runsOrderBeyondWindow = new HashSet<>();
    private long begun;
    private long refused;
    private long begunBeyondWindow;
    private long refusedBeyondWindow;
    private long takeovers;
    private long plans;

    OrderWatch(SoakWorld world, FakeStore store) {
        this.world = world;
        this.store = store;
    }

    static ObjectKey recordKey(String engine) {
        return new ObjectKey(ObjectKind.ENGINE_RECORD, ObjectKey.PLATFORM_NAMESPACE, engine);
    }

    /** Notes when an order was sent, right after the last check of its sender. */
    void sent(FencedOrder order) {
        sentAtNanoseconds.put(order.orderId(), world.now());
    }

    void arrived(OrderArrival arrival) {
        Long sent = sentAtNanoseconds.get(arrival.order().orderId());
        if (sent == null) {
            world.violations().report(arrival.engine() + " was given an order that no agent sent");
            return;
        }
        Duration onTheWire = Duration.ofNanos(world.now() - sent);
        boolean beyond = onTheWire.compareTo(SlotTimings.DEFAULT.maxTransitTime()) > 0;
        if (!arrival.started()) {
            refused++;
            refusedBeyondWindow += beyond ? 1 : 0;
            return;
        }
        begun++;
        long number = arrival.order().fencingNumber();
        boolean interrupts = arrival.engineBusy() && !runsOrderBeyondWindow.contains(arrival.engine());
        boolean conflicts = interrupts
                || arrival.runningStreams() > 0
                || number <= highestBegun.getOrDefault(arrival.engine(), 0L)
                || !recordNames(arrival);
        highestBegun.merge(arrival.engine(), number, Math::max);
        runsOrderBeyondWindow.remove(arrival.engine());
        if (conflicts && beyond) {
            // What this order meets later is its own doing, not that of the order that meets it.
            runsOrderBeyondWindow.add(arrival.engine());
            begunBeyondWindow++;
            checkBeyondWindow(arrival);
            return;
        }
        if (conflicts) {
            world.violations()
                    .report(arrival.engine() + " began an order " + onTheWire + " after it was sent, while busy: "
                            + arrival.engineBusy() + ", streams cut: " + arrival.runningStreams()
                            + ", named by its record: "
                            + recordNames(arrival));
        }
    }

    /** An engine that checks numbers serves nothing until it was given a higher number than that of a lost order. */
    private void checkBeyondWindow(OrderArrival arrival) {
        boolean checks = world.engines().stream()
                .anyMatch(site -> site.engine().name().equals(arrival.engine())
                        && site.engine().checksFencingNumbers());
        if (checks && (arrival.runningStreams() > 0 || arrival.engineBusy())) {
            world.violations()
                    .report(arrival.engine() + " checks numbers and began an order beyond the window, streams cut: "
                            + arrival.runningStreams());
        }
    }

    private boolean recordNames(OrderArrival arrival) {
        Optional<EngineRecord> record = record(arrival.engine());
        Optional<String> unsettled =
                record.flatMap(EngineRecord::unresolvedOrder).map(RecordedOrder::id);
        return unsettled.equals(Optional.of(arrival.order().orderId()));
    }

    private Optional<EngineRecord> record(String engine) {
        Optional<StoredObject> stored = store.peek(recordKey(engine));
        return stored.map(this::decodeRecord);
    }

    private EngineRecord decodeRecord(StoredObject object) {
        try {
            return EngineRecordCodec.read(object);
        } catch (StoreMalformedException malformed) {
            world.violations().report(malformed.getMessage());
            return EngineRecord.NONE;
        }
    }

    /** Checks every write of a plan or an engine record. */
    void written(StoreWrite write) {
        try {
            switch (write.after().key().kind()) {
                case ROLE_PLAN -> planWritten(write);
                case ENGINE_RECORD -> recordWritten(write);
                default -> {
                    // Claims are checked against the ledger of what ran.
                }
            }
        } catch (StoreMalformedException malformed) {
            world.violations().report(malformed.getMessage());
        }
    }

    private void planWritten(StoreWrite write) throws StoreMalformedException {
        if (write.before().isEmpty()) {
            return;
        }
        PlanRecord before = PlanCodec.read(write.before().get());
        PlanRecord after = PlanCodec.read(write.after());
        boolean sameOwner = before.owner().equals(after.owner());
        boolean renewed = after.version().equals(before.version());
        boolean published = after.version()
                .equals(new PlanVersion(
                        before.version().term(), before.version().revision() + 1));
        boolean takenOver = after.version()
                .equals(new PlanVersion(
                        before.version().term() + 1, before.version().revision()));
        takeovers += takenOver ? 1 : 0;
        plans += published ? 1 : 0;
        boolean lawful = (sameOwner && (renewed || published))
                || (takenOver && before.engines().equals(after.engines()));
        if (!lawful) {
            world.violations().report("a plan went from " + before + " to " + after);
        }
    }

    private void recordWritten(StoreWrite write) throws StoreMalformedException {
        EngineRecord after = EngineRecordCodec.read(write.after());
        String engine = write.after().key().name();
        PlanVersion last = lastPlanOfEngine.getOrDefault(engine, PlanVersion.NONE);
        if (last.isAfter(after.planVersion())) {
            world.violations().report(engine + " went back from plan " + last + " to " + after.planVersion());
        }
        lastPlanOfEngine.put(engine, after.planVersion());
        if (write.before().isEmpty()) {
            return;
        }
        EngineRecord before = EngineRecordCodec.read(write.before().get());
        Optional<String> unsettled = before.unresolvedOrder().map(RecordedOrder::id);
        Optional<String> named = after.lastOrder().map(RecordedOrder::id);
        if (unsettled.isPresent() && !unsettled.equals(named)) {
            world.violations().report(engine + " was given an order while another was unsettled");
        }
        if (!before.owner().equals(after.owner()) && after.slotTerm() != before.slotTerm() + 1) {
            world.violations().report(engine + " changed its agent without a new slot term");
        }
    }

    Totals totals() {
        return new Totals(plans, takeovers, begun, refused, begunBeyondWindow, refusedBeyondWindow);
    }

    /** Counts at one moment. */
    record Totals(
            long plans, long takeovers, long begun, long refused, long begunBeyondWindow, long refusedBeyondWindow) {}
}
