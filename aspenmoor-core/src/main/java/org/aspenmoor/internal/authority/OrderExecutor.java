package org.aspenmoor.internal.authority;

import java.time.Duration;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.aspenmoor.internal.engine.EngineControl;
import org.aspenmoor.internal.engine.EngineOrder;
import org.aspenmoor.internal.engine.EngineRefusedOrderException;
import org.aspenmoor.internal.engine.EngineStatus;
import org.aspenmoor.internal.engine.EngineUnreachableException;
import org.aspenmoor.internal.engine.OrderState;
import org.aspenmoor.internal.store.ObjectStore;
import org.aspenmoor.internal.store.StoreConflictException;
import org.aspenmoor.internal.store.StoreException;
import org.aspenmoor.internal.store.StoredObject;
import org.aspenmoor.internal.time.TimeSource;

/**
 * Gives one engine the orders that bring it to what the role plan wants.
 *
 * <p>Every order is recorded as started by a conditional update before it is given, and as settled after it. Without
 * the record, an agent that is restarted in the middle of a change, or a second agent for the same engine, would give
 * another order while the first is carried out or on its way; the engine would be seen changing twice, or ending in a
 * role that nobody planned. An unsettled order is settled first, by asking the engine.
 *
 * <p>An order that the engine has not seen may still be on its way. It is given up only once its longest time on the
 * wire has passed: counted from its sending for an own order, and from the first sight of the order for another
 * agent's. That agent sends nothing once so much of its right has passed that the order might arrive later.
 *
 * <p>An agent takes the engine over once, by a write, when it starts. It does not merely read: an old replica of the
 * store might not show an order that is on its way. An agent that finds itself replaced never gives an order again;
 * otherwise a paused agent would wake up and take the engine back from its successor.
 *
 * <p>Used by one thread only; each step makes at most one change.
 */
public final class OrderExecutor {
    private final SlotIdentity slot;
    private final ObjectStore store;
    private final EngineControl engine;
    private final StreamDrain drain;
    private final SlotTerms terms;
    private final TimeSource time;
    private final SettledWriter writer;
    private final PlanReader plans = new PlanReader();

    private Optional<KnownRecord> known = Optional.empty();
    private Optional<String> sentOrderId = Optional.empty();
    private long sentAtNanoseconds;
    private Optional<String> unsentOrderId = Optional.empty();
    private Optional<String> firstSeenOrderId = Optional.empty();
    private long firstSeenNanoseconds;
    private Optional<Long> failedAtNanoseconds = Optional.empty();
    private boolean draining;
    private Optional<Long> ownSlotTerm = Optional.empty();
    private boolean replaced;
    private boolean mustProve;
    private long highestNumberSeen;
    private long confirmedNanoseconds;
    private long ordersFromNanoseconds;

    public OrderExecutor(
            SlotIdentity slot,
            ObjectStore store,
            EngineControl engine,
            StreamDrain drain,
            SlotTerms terms,
            TimeSource time,
            RandomGenerator random) {
        this.slot = slot;
        this.store = store;
        this.engine = engine;
        this.drain = drain;
        this.terms = terms;
        this.time = time;
        this.writer = new SettledWriter(store, random);
    }

    /** Takes a plan that a watch or a read has shown; older ones are ignored. */
    public void offer(StoredObject plan) throws StoreException {
        plans.offer(plan);
    }

    /** Returns the plan that is obeyed, if any was ever read. */
    public Optional<PlanRecord> plan() {
        return plans.inForce();
    }

    /**
     * Says whether the engine was taken over and no order is due or unsettled, so that new work may start.
     *
     * <p>An agent that has just started does not know yet whether an order of its predecessor is on its way.
     */
    public boolean mayServe() {
        return ownSlotTerm.isPresent() && !replaced && !draining && !mustProve;
    }

    /**
     * Lets no new work start until this agent has proved by a write that the engine is still its own; called on waking
     * up from a pause.
     *
     * <p>A paused agent does not know whether it was replaced. Requests that reached it before the pause would be let in
     * in the middle of its successor's change, and be cut.
     */
    public void wokeFromPause() {
        mustProve = true;
    }

    /** Makes the next step towards the plan. */
    public ExecutorStep step() {
        try {
            return advance();
        } catch (StoreException trouble) {
            known = known.map(KnownRecord::uncertain);
            serveThroughOutage();
            return new ExecutorStep.StoreTrouble(trouble);
        } catch (EngineUnreachableException silent) {
            return new ExecutorStep.EngineSilent(silent);
        }
    }

    private ExecutorStep advance() throws StoreException, EngineUnreachableException {
        if (replaced) {
            return new ExecutorStep.Replaced();
        }
        KnownRecord current = currentRecord();
        if (isOld(current.record())) {
            known = known.map(KnownRecord::uncertain);
            return new ExecutorStep.Waiting("the store answered with an old record");
        }
        if (!current.record().owner().equals(slot.owner())) {
            return ownSlotTerm.isPresent() ? retire() : takeOver(current);
        }
        if (ownSlotTerm.isEmpty()) {
            // The answer to the takeover was lost; it took effect.
            beginTenure(current);
        }
        if (mustProve) {
            return prove(current);
        }
        if (current.record().unsettled().isPresent()) {
            return settle(current, current.record().unsettled().get());
        }
        Optional<EngineAssignment> wanted = wantedAssignment();
        if (wanted.isEmpty()) {
            return mayNeedFence(current.record()) ? new ExecutorStep.Waiting("a first plan") : idle();
        }
        if (current.record().planVersion().isAfter(plans.version())) {
            return new ExecutorStep.PlanBehind(plans.version());
        }
        EngineStatus status = engine.status();
        Optional<EngineOrder> next = nextOrder(wanted.get(), status, current.record());
        if (next.isEmpty()) {
            return idle();
        }
        return prepare(current, next.get(), status);
    }

    /**
     * Says whether an old replica answered: with the record from before the takeover, or from before the last order.
     *
     * <p>By the former an agent would believe that it was replaced; by the latter, that no order is on its way, and it
     * would let streams in that the order cuts.
     */
    private boolean isOld(EngineRecord record) {
        boolean beforeTakeover = ownSlotTerm.isPresent() && record.slotTerm() < ownSlotTerm.get();
        return beforeTakeover || record.lastFencingNumber() < highestNumberSeen;
    }

    private ExecutorStep takeOver(KnownRecord current) throws StoreException {
        if (current.record().unsettled().isPresent() || mayNeedFence(current.record())) {
            // The order may still arrive, and would cut whatever streams had been let in meanwhile.
            stopNewWork();
        }
        KnownRecord taken = write(current, current.record().takenOver(slot.owner(), writer.drawNonce()));
        beginTenure(taken);
        return new ExecutorStep.TookOver(taken.record().slotTerm());
    }

    private void beginTenure(KnownRecord taken) {
        long slotTerm = taken.record().slotTerm();
        ownSlotTerm = Optional.of(slotTerm);
        boolean hadPredecessor = slotTerm > 1;
        ordersFromNanoseconds =
                time.monotonicNanoseconds() + (hadPredecessor ? terms.handover().toNanos() : 0);
        mustProve = false;
    }

    /** Writes the record as it is; the write fails where another agent has taken the engine over. */
    private ExecutorStep prove(KnownRecord current) throws StoreException {
        write(current, current.record().proven(writer.drawNonce()));
        mustProve = false;
        return new ExecutorStep.Waiting("proved after a pause that the engine is still this agent's");
    }

    private ExecutorStep retire() {
        replaced = true;
        stopNewWork();
        return new ExecutorStep.Replaced();
    }

    private Optional<EngineAssignment> wantedAssignment() {
        return plans.inForce().flatMap(plan -> plan.assignment(slot.engine()));
    }

    private ExecutorStep idle() {
        if (draining) {
            draining = false;
            drain.endDrain();
        }
        return new ExecutorStep.Idle();
    }

    /**
     * Takes work again where no order can be on its way.
     *
     * <p>A change that is due needs the store. An agent that went on draining for it would leave its engine idle for as
     * long as the store is out.
     */
    private void serveThroughOutage() {
        if (replaced || ownSlotTerm.isEmpty() || known.isEmpty()) {
            return;
        }
        EngineRecord record = known.get().record();
        if (record.unsettled().isEmpty() && !mayNeedFence(record) && !isOld(record)) {
            idle();
        }
    }

    private void stopNewWork() {
        if (!draining) {
            draining = true;
            drain.beginDrain();
        }
    }

    private Optional<EngineOrder> nextOrder(EngineAssignment wanted, EngineStatus status, EngineRecord record) {
        EngineOrder changeRole = new EngineOrder.ChangeRole(wanted.role());
        if (status.role() != wanted.role() || mustFence(record, status)) {
            return Optional.of(changeRole);
        }
        return wanted.loads().stream()
                .filter(item -> !status.loaded().contains(item.label()))
                .findFirst()
                .map(LoadItem::order);
    }

    /**
     * Says whether the engine needs a higher number than those of orders which were given up.
     *
     * <p>An order can come off the wire later than any time-out foresees. An engine that checks numbers refuses it,
     * but only once it was given a higher one. The last order's state does not tell: the order that was to bring the
     * higher number may itself have been withdrawn.
     */
    private boolean mustFence(EngineRecord record, EngineStatus status) {
        return mayNeedFence(record) && status.highestFencingNumber() < record.highestAbandoned();
    }

    private boolean mayNeedFence(EngineRecord record) {
        return slot.engineChecksNumbers() && record.highestAbandoned() > 0;
    }

    private ExecutorStep prepare(KnownRecord current, EngineOrder order, EngineStatus status)
            throws StoreException, EngineUnreachableException {
        if (status.lastOrderState() == OrderState.RUNNING || !status.ready()) {
            return new ExecutorStep.Waiting("the engine is not ready");
        }
        if (time.monotonicNanoseconds() - ordersFromNanoseconds < 0) {
            return new ExecutorStep.Waiting("an earlier agent may not have noticed its successor yet");
        }
        if (failedAtNanoseconds.isPresent()
                && since(failedAtNanoseconds.get()).compareTo(terms.pauseAfterFailure()) < 0) {
            return new ExecutorStep.Waiting("the last order failed a moment ago");
        }
        stopNewWork();
        int running = Math.max(drain.running(), status.load().runningSequences());
        if (running > 0) {
            return new ExecutorStep.Draining(running);
        }
        if (planMovedOn()) {
            return new ExecutorStep.Waiting("the plan has moved on");
        }
        return give(current, order, status);
    }

    /**
     * Reads the plan once more before an order is given.
     *
     * <p>A watch lags, and an agent that was paused may obey a plan whose holder lost its lease long ago; the engine
     * would be moved and moved back.
     */
    private boolean planMovedOn() throws StoreException {
        Optional<StoredObject> stored = store.read(slot.planKey());
        if (stored.isEmpty()) {
            return false;
        }
        return plans.offer(stored.get()).isPresent();
    }

    private ExecutorStep give(KnownRecord current, EngineOrder order, EngineStatus status)
            throws StoreException, EngineUnreachableException {
        long number = FencingNumbers.next(
                current.record().lastFencingNumber(),
                status.highestFencingNumber(),
                plans.version().term());
        String id = writer.drawNonce();
        RecordedOrder recorded = new RecordedOrder(id, number, order, RecordedOrderState.STARTED);
        // Until it is sent, this order counts as never sent, also if its record lands after a lost answer.
        unsentOrderId = Optional.of(id);
        long recordSentAt = time.monotonicNanoseconds();
        KnownRecord started = write(current, current.record().started(writer.drawNonce(), plans.version(), recorded));
        if (since(recordSentAt).compareTo(terms.sendable()) >= 0) {
            // Paused while the record was written. Another agent may believe that this order can no longer arrive.
            return settleAs(started, recorded, RecordedOrderState.WITHDRAWN);
        }
        unsentOrderId = Optional.empty();
        return send(started, recorded);
    }

    private ExecutorStep send(KnownRecord started, RecordedOrder recorded)
            throws StoreException, EngineUnreachableException {
        sentOrderId = Optional.of(recorded.id());
        try {
            engine.order(recorded.numbered());
            return new ExecutorStep.Ordered(recorded.numbered());
        } catch (EngineRefusedOrderException refused) {
            return settleAs(started, recorded, RecordedOrderState.FAILED);
        } finally {
            // Counted from the end of the call: a pause within it delays the sending itself.
            sentAtNanoseconds = time.monotonicNanoseconds();
        }
    }

    private ExecutorStep settle(KnownRecord current, RecordedOrder order)
            throws StoreException, EngineUnreachableException {
        if (unsentOrderId.equals(Optional.of(order.id()))) {
            return settleAs(current, order, RecordedOrderState.WITHDRAWN);
        }
        // The time is taken before the engine is asked, so that its answer is about a later moment.
        Duration remaining = longestStillOnTheWire(order);
        EngineStatus status = engine.status();
        if (!status.lastOrderId().equals(Optional.of(order.id()))) {
            return remaining.isPositive()
                    ? new ExecutorStep.Settling(order.id(), remaining)
                    : settleAs(current, order, RecordedOrderState.ABANDONED);
        }
        return switch (status.lastOrderState()) {
            case RUNNING -> new ExecutorStep.Running(order.id());
            case DONE -> settleAs(current, order, RecordedOrderState.FINISHED);
            case FAILED, NEVER_SEEN -> settleAs(current, order, RecordedOrderState.FAILED);
        };
    }

    private Duration longestStillOnTheWire(RecordedOrder order) {
        if (sentOrderId.equals(Optional.of(order.id()))) {
            return terms.longestOnTheWire().minus(since(sentAtNanoseconds));
        }
        return terms.length().minus(since(firstSeenNanoseconds));
    }

    private ExecutorStep settleAs(KnownRecord current, RecordedOrder order, RecordedOrderState state)
            throws StoreException {
        write(current, current.record().settled(writer.drawNonce(), state));
        failedAtNanoseconds =
                state == RecordedOrderState.FAILED ? Optional.of(time.monotonicNanoseconds()) : Optional.empty();
        return new ExecutorStep.Settled(order.id(), state);
    }

    private KnownRecord write(KnownRecord current, EngineRecord next) throws StoreException {
        try {
            StoredObject stored =
                    writer.write(slot.recordKey(), current.stored(), next.nonce(), EngineRecordCodec.write(next));
            return remember(new KnownRecord(Optional.of(stored), next, false));
        } catch (StoreConflictException overtaken) {
            known = Optional.empty();
            throw overtaken;
        }
    }

    /** Returns the record as last read or written; read anew where it is unsettled or in doubt. */
    private KnownRecord currentRecord() throws StoreException {
        boolean certain = known.isPresent()
                && !known.get().inDoubt()
                && known.get().record().unsettled().isEmpty()
                && since(confirmedNanoseconds).compareTo(terms.confirmEvery()) < 0;
        if (certain) {
            return known.get();
        }
        Optional<StoredObject> stored = store.read(slot.recordKey());
        if (stored.isEmpty()) {
            return remember(new KnownRecord(Optional.empty(), EngineRecord.NONE, false));
        }
        return remember(new KnownRecord(stored, EngineRecordCodec.read(stored.get()), false));
    }

    private KnownRecord remember(KnownRecord seen) {
        known = Optional.of(seen);
        confirmedNanoseconds = time.monotonicNanoseconds();
        highestNumberSeen = Math.max(highestNumberSeen, seen.record().lastFencingNumber());
        Optional<String> unsettled = seen.record().unsettled().map(RecordedOrder::id);
        if (unsettled.isPresent() && !unsettled.equals(firstSeenOrderId)) {
            firstSeenOrderId = unsettled;
            firstSeenNanoseconds = time.monotonicNanoseconds();
        }
        return seen;
    }

    private Duration since(long nanoseconds) {
        return Duration.ofNanos(time.monotonicNanoseconds() - nanoseconds);
    }

    /** The record as it was read or written last; in doubt after trouble with the store. */
    private record KnownRecord(Optional<StoredObject> stored, EngineRecord record, boolean inDoubt) {
        KnownRecord uncertain() {
            return new KnownRecord(stored, record, true);
        }
    }
}
