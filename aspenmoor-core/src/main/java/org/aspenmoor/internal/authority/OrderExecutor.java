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
 * Sends one engine the orders that bring it to the state in the role plan.
 *
 * <p>Every order is recorded with a conditional update before it is sent, and its outcome is recorded afterwards.
 * Without the record, an agent that is restarted during a change, or a second agent for the same engine, could send
 * another order while the first is being executed or in transit; the engine would change twice, or end in a role that
 * is not planned. An order with unknown outcome is resolved first, by querying the engine.
 *
 * <p>An order that the engine has not received may still be in transit. It is abandoned only after the maximum transit
 * time, counted from sending for an own order, and from the first read of the record for an order of another agent. The
 * other agent does not send an order so late in its order lease that the order could arrive after that time.
 *
 * <p>An agent takes the engine over once, with a write, when it starts. Reading alone would not be sufficient, because
 * an outdated replica of the store might not show an order in transit. An agent that was replaced never sends an order
 * again; otherwise an agent that resumes after a pause would take the engine back from its successor.
 *
 * <p>Not thread-safe; each step makes at most one change.
 */
public final class OrderExecutor {
    private final SlotIdentity slot;
    private final ObjectStore store;
    private final EngineControl engine;
    private final StreamDrain drain;
    private final SlotTimings timings;
    private final TimeSource time;
    private final NonceWriter writer;
    private final PlanReader plans = new PlanReader();

    private Optional<KnownRecord> lastKnown = Optional.empty();
    private Optional<String> sentOrderId = Optional.empty();
    private long sentAtNanos;
    private Optional<String> unsentOrderId = Optional.empty();
    private Optional<String> firstSeenOrderId = Optional.empty();
    private long firstSeenNanos;
    private Optional<Long> failedAtNanos = Optional.empty();
    private boolean draining;
    private Optional<Long> ownSlotTerm = Optional.empty();
    private boolean replaced;
    private boolean mustConfirmOwnership;
    private long highestFencingNumberSeen;
    private long confirmedAtNanos;
    private long ordersAllowedFromNanos;

    public OrderExecutor(
            SlotIdentity slot,
            ObjectStore store,
            EngineControl engine,
            StreamDrain drain,
            SlotTimings timings,
            TimeSource time,
            RandomGenerator random) {
        this.slot = slot;
        this.store = store;
        this.engine = engine;
        this.drain = drain;
        this.timings = timings;
        this.time = time;
        this.writer = new NonceWriter(store, random);
    }

    /** Accepts a plan from a watch or a read; plans that are not newer than the current one are ignored. */
    public void offer(StoredObject plan) throws StoreException {
        plans.offer(plan);
    }

    /** Returns the plan in force; empty if none was read yet. */
    public Optional<PlanRecord> plan() {
        return plans.inForce();
    }

    /**
     * Returns whether the engine was taken over and no order is due or unresolved, so that new work may start.
     *
     * <p>An agent that has just started does not know yet whether an order of its predecessor is in transit.
     */
    public boolean mayServe() {
        return ownSlotTerm.isPresent() && !replaced && !draining && !mustConfirmOwnership;
    }

    /**
     * Prevents new work from starting until this agent has confirmed with a write that it still owns the engine; called
     * when the process resumes after a pause.
     *
     * <p>A paused agent does not know whether it was replaced. Requests that reached it before the pause would be
     * accepted during a change ordered by its successor, and be cut.
     */
    public void onPauseDetected() {
        mustConfirmOwnership = true;
    }

    /** Makes the next step towards the planned state. */
    public ExecutorStep step() {
        try {
            return advance();
        } catch (StoreException failure) {
            lastKnown = lastKnown.map(KnownRecord::asUnconfirmed);
            resumeWorkDuringOutage();
            return new ExecutorStep.StoreFailed(failure);
        } catch (EngineUnreachableException unreachable) {
            return new ExecutorStep.EngineUnreachable(unreachable);
        }
    }

    private ExecutorStep advance() throws StoreException, EngineUnreachableException {
        if (replaced) {
            return new ExecutorStep.Replaced();
        }
        KnownRecord current = currentRecord();
        if (isStale(current.record())) {
            lastKnown = lastKnown.map(KnownRecord::asUnconfirmed);
            return new ExecutorStep.Waiting("an up-to-date engine record from the store");
        }
        if (!current.record().owner().equals(slot.owner())) {
            return ownSlotTerm.isPresent() ? onReplaced() : takeOver(current);
        }
        if (ownSlotTerm.isEmpty()) {
            // The response to the takeover was lost, but the takeover took effect.
            onTakenOver(current);
        }
        if (mustConfirmOwnership) {
            return confirmOwnership(current);
        }
        if (current.record().unresolvedOrder().isPresent()) {
            return resolve(current, current.record().unresolvedOrder().get());
        }
        Optional<EngineAssignment> planned = plannedAssignment();
        if (planned.isEmpty()) {
            return mayNeedHigherFencingNumber(current.record()) ? new ExecutorStep.Waiting("a first plan") : idle();
        }
        if (current.record().planVersion().isAfter(plans.version())) {
            return new ExecutorStep.PlanOutdated(plans.version());
        }
        EngineStatus status = engine.status();
        Optional<EngineOrder> next = nextOrder(planned.get(), status, current.record());
        if (next.isEmpty()) {
            return idle();
        }
        return prepare(current, next.get(), status);
    }

    /**
     * Returns whether the record comes from an outdated replica, from before the takeover or before the last order.
     *
     * <p>With the former an agent would assume that it was replaced. With the latter it would assume that no order is
     * in transit, and accept streams that the order then cuts.
     */
    private boolean isStale(EngineRecord record) {
        boolean beforeTakeover = ownSlotTerm.isPresent() && record.slotTerm() < ownSlotTerm.get();
        return beforeTakeover || record.lastFencingNumber() < highestFencingNumberSeen;
    }

    private ExecutorStep takeOver(KnownRecord current) throws StoreException {
        if (current.record().unresolvedOrder().isPresent() || mayNeedHigherFencingNumber(current.record())) {
            // The order may still arrive, and would cut the streams that were accepted meanwhile.
            stopNewWork();
        }
        KnownRecord taken = write(current, current.record().takenOver(slot.owner(), writer.newNonce()));
        onTakenOver(taken);
        return new ExecutorStep.TookOver(taken.record().slotTerm());
    }

    private void onTakenOver(KnownRecord taken) {
        long slotTerm = taken.record().slotTerm();
        ownSlotTerm = Optional.of(slotTerm);
        boolean hadPredecessor = slotTerm > 1;
        ordersAllowedFromNanos = time.monotonicNanos()
                + (hadPredecessor ? timings.takeoverDelay().toNanos() : 0);
        mustConfirmOwnership = false;
    }

    /** Writes the record without changes; the write fails if another agent has taken the engine over. */
    private ExecutorStep confirmOwnership(KnownRecord current) throws StoreException {
        write(current, current.record().confirmed(writer.newNonce()));
        mustConfirmOwnership = false;
        return new ExecutorStep.Waiting("its next step, after confirming that it still owns the engine");
    }

    private ExecutorStep onReplaced() {
        replaced = true;
        stopNewWork();
        return new ExecutorStep.Replaced();
    }

    private Optional<EngineAssignment> plannedAssignment() {
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
     * Accepts work again if no order can be in transit.
     *
     * <p>A change that is due cannot be made without the store. An agent that continued to drain would leave its engine
     * idle for the duration of the store outage.
     */
    private void resumeWorkDuringOutage() {
        if (replaced || ownSlotTerm.isEmpty() || lastKnown.isEmpty()) {
            return;
        }
        EngineRecord record = lastKnown.get().record();
        if (record.unresolvedOrder().isEmpty() && !mayNeedHigherFencingNumber(record) && !isStale(record)) {
            idle();
        }
    }

    private void stopNewWork() {
        if (!draining) {
            draining = true;
            drain.beginDrain();
        }
    }

    private Optional<EngineOrder> nextOrder(EngineAssignment planned, EngineStatus status, EngineRecord record) {
        EngineOrder changeRole = new EngineOrder.ChangeRole(planned.role());
        if (status.role() != planned.role() || needsHigherFencingNumber(record, status)) {
            return Optional.of(changeRole);
        }
        return planned.loads().stream()
                .filter(item -> !status.loaded().contains(item.label()))
                .findFirst()
                .map(LoadItem::order);
    }

    /**
     * Returns whether the engine still has to receive a higher fencing number than that of the abandoned orders.
     *
     * <p>An order can arrive later than any timeout allows for. An engine that checks numbers refuses it, but only
     * after it has received a higher number. The state of the last order does not show this: the order that was to
     * deliver the higher number may itself have been withdrawn.
     */
    private boolean needsHigherFencingNumber(EngineRecord record, EngineStatus status) {
        return mayNeedHigherFencingNumber(record) && status.highestFencingNumber() < record.highestAbandoned();
    }

    private boolean mayNeedHigherFencingNumber(EngineRecord record) {
        return slot.engineChecksFencingNumbers() && record.highestAbandoned() > 0;
    }

    private ExecutorStep prepare(KnownRecord current, EngineOrder order, EngineStatus status)
            throws StoreException, EngineUnreachableException {
        if (status.lastOrderState() == OrderState.RUNNING || !status.ready()) {
            return new ExecutorStep.Waiting("the engine to become ready");
        }
        if (time.monotonicNanos() - ordersAllowedFromNanos < 0) {
            return new ExecutorStep.Waiting("the previous agent to detect that it was replaced");
        }
        if (failedAtNanos.isPresent() && elapsedSince(failedAtNanos.get()).compareTo(timings.delayAfterFailure()) < 0) {
            return new ExecutorStep.Waiting("the delay after a failed order");
        }
        stopNewWork();
        int running = Math.max(drain.running(), status.load().runningSequences());
        if (running > 0) {
            return new ExecutorStep.Draining(running);
        }
        if (planChanged()) {
            return new ExecutorStep.Waiting("its next step, after reading a newer plan");
        }
        return recordAndSend(current, order, status);
    }

    /**
     * Reads the plan again before an order is sent, and returns whether it has changed.
     *
     * <p>A watch lags, and an agent that was paused may hold a plan whose publisher lost its lease long ago; the engine
     * would be changed and changed back.
     */
    private boolean planChanged() throws StoreException {
        Optional<StoredObject> stored = store.read(slot.planKey());
        if (stored.isEmpty()) {
            return false;
        }
        return plans.offer(stored.get()).isPresent();
    }

    private ExecutorStep recordAndSend(KnownRecord current, EngineOrder order, EngineStatus status)
            throws StoreException, EngineUnreachableException {
        long fencingNumber = FencingNumbers.next(
                current.record().lastFencingNumber(),
                status.highestFencingNumber(),
                plans.version().term());
        String id = writer.newNonce();
        RecordedOrder recorded = new RecordedOrder(id, fencingNumber, order, RecordedOrderState.STARTED);
        // Until it is sent, this order counts as never sent, even if its record write takes effect after a lost
        // response.
        unsentOrderId = Optional.of(id);
        long recordSentAt = time.monotonicNanos();
        KnownRecord started =
                write(current, current.record().withNewOrder(writer.newNonce(), plans.version(), recorded));
        if (elapsedSince(recordSentAt).compareTo(timings.sendWindow()) >= 0) {
            // Writing the record took too long. Another agent may already treat this order as unable to arrive.
            return recordOutcome(started, recorded, RecordedOrderState.WITHDRAWN);
        }
        unsentOrderId = Optional.empty();
        return send(started, recorded);
    }

    private ExecutorStep send(KnownRecord started, RecordedOrder recorded)
            throws StoreException, EngineUnreachableException {
        sentOrderId = Optional.of(recorded.id());
        try {
            engine.order(recorded.toFencedOrder());
            return new ExecutorStep.Ordered(recorded.toFencedOrder());
        } catch (EngineRefusedOrderException refused) {
            return recordOutcome(started, recorded, RecordedOrderState.FAILED);
        } finally {
            // Taken at the end of the call, because a pause during the call delays the sending itself.
            sentAtNanos = time.monotonicNanos();
        }
    }

    private ExecutorStep resolve(KnownRecord current, RecordedOrder order)
            throws StoreException, EngineUnreachableException {
        if (unsentOrderId.equals(Optional.of(order.id()))) {
            return recordOutcome(current, order, RecordedOrderState.WITHDRAWN);
        }
        // The time is taken before the engine is queried, so that the reported status is not older than it.
        Duration remaining = remainingTransitTime(order);
        EngineStatus status = engine.status();
        if (!status.lastOrderId().equals(Optional.of(order.id()))) {
            return remaining.isPositive()
                    ? new ExecutorStep.InTransit(order.id(), remaining)
                    : recordOutcome(current, order, RecordedOrderState.ABANDONED);
        }
        return switch (status.lastOrderState()) {
            case RUNNING -> new ExecutorStep.Running(order.id());
            case DONE -> recordOutcome(current, order, RecordedOrderState.FINISHED);
            case FAILED, NEVER_SEEN -> recordOutcome(current, order, RecordedOrderState.FAILED);
        };
    }

    private Duration remainingTransitTime(RecordedOrder order) {
        if (sentOrderId.equals(Optional.of(order.id()))) {
            return timings.maxTransitTime().minus(elapsedSince(sentAtNanos));
        }
        return timings.orderLeaseDuration().minus(elapsedSince(firstSeenNanos));
    }

    private ExecutorStep recordOutcome(KnownRecord current, RecordedOrder order, RecordedOrderState state)
            throws StoreException {
        write(current, current.record().withOrderState(writer.newNonce(), state));
        failedAtNanos = state == RecordedOrderState.FAILED ? Optional.of(time.monotonicNanos()) : Optional.empty();
        return new ExecutorStep.Resolved(order.id(), state);
    }

    private KnownRecord write(KnownRecord current, EngineRecord next) throws StoreException {
        try {
            StoredObject stored =
                    writer.write(slot.recordKey(), current.stored(), next.nonce(), EngineRecordCodec.write(next));
            return remember(new KnownRecord(Optional.of(stored), next, false));
        } catch (StoreConflictException conflict) {
            lastKnown = Optional.empty();
            throw conflict;
        }
    }

    /** Returns the record as last read or written; reads it again if it is unresolved, unconfirmed or too old. */
    private KnownRecord currentRecord() throws StoreException {
        boolean upToDate = lastKnown.isPresent()
                && !lastKnown.get().unconfirmed()
                && lastKnown.get().record().unresolvedOrder().isEmpty()
                && elapsedSince(confirmedAtNanos).compareTo(timings.confirmInterval()) < 0;
        if (upToDate) {
            return lastKnown.get();
        }
        Optional<StoredObject> stored = store.read(slot.recordKey());
        if (stored.isEmpty()) {
            return remember(new KnownRecord(Optional.empty(), EngineRecord.NONE, false));
        }
        return remember(new KnownRecord(stored, EngineRecordCodec.read(stored.get()), false));
    }

    private KnownRecord remember(KnownRecord seen) {
        lastKnown = Optional.of(seen);
        confirmedAtNanos = time.monotonicNanos();
        highestFencingNumberSeen =
                Math.max(highestFencingNumberSeen, seen.record().lastFencingNumber());
        Optional<String> unresolved = seen.record().unresolvedOrder().map(RecordedOrder::id);
        if (unresolved.isPresent() && !unresolved.equals(firstSeenOrderId)) {
            firstSeenOrderId = unresolved;
            firstSeenNanos = time.monotonicNanos();
        }
        return seen;
    }

    private Duration elapsedSince(long startNanos) {
        return Duration.ofNanos(time.monotonicNanos() - startNanos);
    }

    /** The record as last read or written; unconfirmed after a failed store call. */
    private record KnownRecord(Optional<StoredObject> stored, EngineRecord record, boolean unconfirmed) {
        KnownRecord asUnconfirmed() {
            return new KnownRecord(stored, record, true);
        }
    }
}
